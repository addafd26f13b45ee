package subcmd

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/admin"
	"github.com/basilkeel/basilkeel/poison"
)

// quarantineListCommand lists the quarantined requests of each entry.
type quarantineListCommand struct {
	adminAccess
}

func (*quarantineListCommand) name() string { return "list" }

func (*quarantineListCommand) summary() string { return "list requests that are quarantined" }

func (*quarantineListCommand) help() string {
	return `List prints, for every entry given, the fingerprints of the requests that it
refuses because they crashed backend servers, and until when it refuses them.`
}

func (command *quarantineListCommand) flags() []cli.Flag { return command.adminAccess.flags() }

func (command *quarantineListCommand) run(ctx context.Context, _ []string) error {
	clients, err := command.clients()
	if err != nil {
		return err
	}
	var failures []error
	for i, client := range clients {
		quarantines, err := client.Quarantines(ctx)
		if err != nil {
			failures = append(failures, merry.Prependf(err, "%s", command.urls[i]))
		}
		for _, quarantine := range quarantines {
			fmt.Printf("%s until %s at %s\n", quarantine.Fingerprint, quarantine.Until.Format(time.RFC3339), command.urls[i])
		}
	}
	return errors.Join(failures...)
}

// quarantineLiftCommand lifts the quarantine of a request at all entries given.
type quarantineLiftCommand struct {
	adminAccess

	fingerprint string
}

func (*quarantineLiftCommand) name() string { return "lift" }

func (*quarantineLiftCommand) summary() string { return "lift the quarantine of a request" }

func (*quarantineLiftCommand) help() string {
	return `Lift ends a quarantine at every entry given that has it. Agents and other entries
learn of it from the requests that these entries send.`
}

func (command *quarantineLiftCommand) flags() []cli.Flag {
	return command.adminAccess.flags(
		&cli.StringFlag{Name: "fingerprint", Usage: "fingerprint as list prints it", Destination: &command.fingerprint, Required: true},
	)
}

func (command *quarantineLiftCommand) run(ctx context.Context, _ []string) error {
	fingerprint, err := poison.ParseFingerprint(command.fingerprint)
	if err != nil {
		return flagError("fingerprint", err.Error())
	}
	clients, err := command.clients()
	if err != nil {
		return err
	}
	lifted := 0
	var failures []error
	for i, client := range clients {
		err := client.LiftQuarantine(ctx, fingerprint)
		var apiError *admin.APIError
		switch {
		case err == nil:
			lifted++
		case errors.As(err, &apiError) && apiError.Status == http.StatusNotFound:
		default:
			failures = append(failures, merry.Prependf(err, "%s", command.urls[i]))
		}
	}
	if lifted == 0 && len(failures) == 0 {
		return merry.Errorf("none of the entries knows of a quarantine of %s", fingerprint)
	}
	fmt.Printf("liftedAt=%d of=%d\n", lifted, len(clients))
	return errors.Join(failures...)
}
