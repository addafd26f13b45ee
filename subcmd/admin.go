package subcmd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/admin"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/setup"
)

// adminAccess reaches the administration API of any of several entries.
type adminAccess struct {
	urls      []string
	tokenFile string
	token     string
	authority string
}

func (access *adminAccess) flags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name: "entry", Usage: "operators' URL of an entry; where several are given, the next is tried when one fails",
			Sources: cli.EnvVars(setup.Environment("entries")), Destination: &access.urls, Required: true,
		},
		&cli.StringFlag{Name: "token-file", Usage: "file with the operator's token", Destination: &access.tokenFile, Sources: cli.EnvVars(setup.Environment("token-file"))},
		&cli.StringFlag{Name: "token", Usage: "the operator's token, where no file is named; give it by environment", Destination: &access.token, Sources: cli.EnvVars(setup.Environment("token"))},
		&cli.StringFlag{
			Name: "authority", Usage: "PEM authority that signs the entries' certificates",
			Sources: cli.EnvVars(setup.Environment("operator-ca")), Destination: &access.authority,
		},
	}, more...)
}

// clients returns one client an entry.
func (access *adminAccess) clients() ([]*admin.Client, error) {
	token := access.token
	if access.tokenFile != "" {
		content, err := os.ReadFile(access.tokenFile)
		if err != nil {
			return nil, err
		}
		token = string(content)
	}
	token = strings.TrimSpace(token)
	if token == "" {
		return nil, usageFault("token-file", "is required, or --token")
	}
	client, err := operatorClient(access.authority)
	if err != nil {
		return nil, err
	}
	clients := make([]*admin.Client, 0, len(access.urls))
	for _, url := range access.urls {
		clients = append(clients, admin.NewClient(admin.ClientConfig{URL: strings.TrimRight(url, "/"), Token: token, HTTP: client}))
	}
	return clients, nil
}

// adminCall is one call on the administration API.
type adminCall func(ctx context.Context, client *admin.Client) error

// read runs a call that changes nothing, at the next entry after any failure to
// get an answer.
func (access *adminAccess) read(ctx context.Context, call adminCall) error {
	_, err := access.run(ctx, call, unanswered)
	return err
}

// repeatable runs a change, at the next entry after any failure to get an
// answer, since its id tells a repeat.
func (access *adminAccess) repeatable(ctx context.Context, call adminCall) error {
	lost, err := access.run(ctx, call, unanswered)
	return lostAnswer(lost, err)
}

// once runs a change, at the next entry only where the one before has certainly
// done nothing.
func (access *adminAccess) once(ctx context.Context, call adminCall) error {
	lost, err := access.run(ctx, call, func(err error) bool { return unanswered(err) && undone(err) })
	return lostAnswer(lost, err)
}

// run runs call at one entry after another while next tells so of its error,
// and tells whether an answer was lost.
func (access *adminAccess) run(ctx context.Context, call adminCall, next func(error) bool) (lost bool, err error) {
	clients, err := access.clients()
	if err != nil {
		return false, err
	}
	for _, client := range clients {
		if err = call(ctx, client); err == nil {
			return false, nil
		}
		lost = lost || (unanswered(err) && !undone(err))
		if !next(err) {
			break
		}
	}
	return lost, err
}

// lostAnswer returns the error of a change.
func lostAnswer(lost bool, err error) error {
	if lost && !decided(err) {
		return &lostAnswerError{cause: err}
	}
	return err
}

// decided tells that err says what became of a change, also of one whose
// earlier answer was lost.
func decided(err error) bool {
	var conflictError *config.ConflictError
	var validationError *config.ValidationError
	return errors.As(err, &conflictError) || errors.As(err, &validationError)
}

// unanswered tells that a call that failed with err may go better at another
// entry: this one could not be reached, broke off, or cannot reach the store.
func unanswered(err error) bool {
	var apiError *admin.APIError
	if errors.As(err, &apiError) {
		return apiError.Status >= http.StatusInternalServerError
	}
	return !decided(err)
}

// undone tells that a call that failed with err has certainly done nothing.
func undone(err error) bool {
	var apiError *admin.APIError
	if errors.As(err, &apiError) {
		return apiError.Status < http.StatusInternalServerError || apiError.NothingChanged()
	}
	var operation *net.OpError
	return decided(err) || (errors.As(err, &operation) && operation.Op == "dial")
}

func usageFault(flag, problem string) error {
	return &setup.ValidationError{Faults: []setup.Fault{{Flag: flag, Problem: problem}}}
}

// adminGroup holds the commands over the administration API.
func adminGroup() *cli.Command {
	groups := []*cli.Command{
		{Name: "key", Usage: "issue and withdraw access keys", Commands: buildAll(&keyIssueCommand{}, &keyWithdrawCommand{})},
		{Name: "quarantine", Usage: "see and lift quarantines of requests", Commands: buildAll(&quarantineListCommand{}, &quarantineLiftCommand{})},
	}
	return &cli.Command{
		Name: "admin", Usage: "administer a fleet",
		Commands: append(buildAll(
			&changeCommand{}, &changeCommand{dry: true}, &showCommand{}, &historyCommand{},
			&auditCommand{}, &statusCommand{},
		), groups...),
	}
}
