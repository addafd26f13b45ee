package subcmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/node"
	"github.com/basilkeel/basilkeel/platform"
)

// serveCommand runs an entry on a platform that provides the key-value service and
// the registry.
type serveCommand struct {
	settingsPath string
}

func (*serveCommand) name() string { return "serve" }

func (*serveCommand) summary() string {
	return "serve callers on a platform with a registry of backend servers"
}

func (*serveCommand) help() string {
	return `Serve accepts callers' requests as opaque HTTP and forwards them to the backend
servers that the platform's registry lists. One of the entries, elected through
the platform's key-value service, places models and divides the limits of client
accounts between entries. Entries are interchangeable and store nothing on disk.
SIGTERM stops an entry gracefully; SIGHUP reloads the settings file.`
}

func (command *serveCommand) flags() []cli.Flag {
	return []cli.Flag{&cli.StringFlag{
		Name: "settings", Usage: "path of the platform's settings file",
		Sources: cli.EnvVars(platform.SettingsVariable), Destination: &command.settingsPath,
	}}
}

func (command *serveCommand) run(ctx context.Context, _ []string) error {
	if command.settingsPath == "" {
		return &MissingArgumentError{Argument: "the path of the settings file, as flag --settings or variable " + platform.SettingsVariable}
	}
	return node.RunRelay(ctx, command.settingsPath)
}
