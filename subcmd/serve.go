package subcmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/node"
	"github.com/basilkeel/basilkeel/platform"
)

// serveCommand runs an entry of a prepared deployment.
type serveCommand struct {
	path string
}

func (*serveCommand) name() string { return "serve" }

func (*serveCommand) summary() string { return "serve callers on the prepared platform" }

func (*serveCommand) help() string {
	return `Takes callers' requests as opaque HTTP and passes them on to the backend servers
that the platform's registry lists. One of the entries, elected through the
platform's key-value service, places models and divides the limits of client
accounts. Entries are alike and keep nothing on disk. SIGTERM stops an entry
gracefully, SIGHUP has the settings file read again.`
}

func (command *serveCommand) flags() []cli.Flag {
	return []cli.Flag{&cli.StringFlag{
		Name: "settings", Usage: "path of the platform's settings file",
		Sources: cli.EnvVars(platform.SettingsVariable), Destination: &command.path,
	}}
}

func (command *serveCommand) run(ctx context.Context, _ []string) error {
	if command.path == "" {
		return &MissingArgumentError{Argument: "the path of the settings file, as flag --settings or variable " + platform.SettingsVariable}
	}
	return node.RunRelay(ctx, command.path)
}
