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

// adminAccess calls the administration API of any of several entries.
type adminAccess struct {
	urls      []string
	tokenFile string
	token     string
	authority string
}

func (access *adminAccess) flags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name: "entry", Usage: "operators' URL of an entry; if several are given, the next is tried when one fails",
			Sources: cli.EnvVars(setup.Environment("entries")), Destination: &access.urls, Required: true,
		},
		&cli.StringFlag{Name: "token-file", Usage: "file with the operator's token", Destination: &access.tokenFile, Sources: cli.EnvVars(setup.Environment("token-file"))},
		&cli.StringFlag{Name: "token", Usage: "the operator's token if no file is named; set it in the environment", Destination: &access.token, Sources: cli.EnvVars(setup.Environment("token"))},
		&cli.StringFlag{
			Name: "authority", Usage: "PEM file of the authority that signs the entries' certificates",
			Sources: cli.EnvVars(setup.Environment("operator-ca")), Destination: &access.authority,
		},
	}, more...)
}

// clients returns a client for each entry, in the order of the flags.
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
		return nil, flagError("token-file", "is required, or --token")
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

// adminCall makes one call to the administration API through client.
type adminCall func(ctx context.Context, client *admin.Client) error

// tryRead makes a call that changes nothing. It goes on to the next entry after any
// failure to get an answer.
func (access *adminAccess) tryRead(ctx context.Context, call adminCall) error {
	_, err := access.tryEntries(ctx, call, mayRetryElsewhere)
	return err
}

// tryRepeatable makes a change whose id lets entries recognize a repeat. It goes on
// to the next entry after any failure to get an answer.
func (access *adminAccess) tryRepeatable(ctx context.Context, call adminCall) error {
	lost, err := access.tryEntries(ctx, call, mayRetryElsewhere)
	return changeError(lost, err)
}

// tryOnce makes a change that must not be repeated. It goes on to the next entry
// only if the previous one has certainly changed nothing.
func (access *adminAccess) tryOnce(ctx context.Context, call adminCall) error {
	lost, err := access.tryEntries(ctx, call, func(err error) bool { return mayRetryElsewhere(err) && changedNothing(err) })
	return changeError(lost, err)
}

// tryEntries makes a call at one entry after another until it succeeds or next
// returns false for its error. The result lost reports whether the call failed and
// may have taken effect at an entry whose answer was lost.
func (access *adminAccess) tryEntries(ctx context.Context, call adminCall, next func(error) bool) (lost bool, err error) {
	clients, err := access.clients()
	if err != nil {
		return false, err
	}
	for _, client := range clients {
		if err = call(ctx, client); err == nil {
			return false, nil
		}
		lost = lost || (mayRetryElsewhere(err) && !changedNothing(err))
		if !next(err) {
			break
		}
	}
	return lost, err
}

// changeError returns the error of a change: a [lostAnswerError] if an answer was
// lost and err does not settle whether the change took effect.
func changeError(lost bool, err error) error {
	if lost && !isFinal(err) {
		return &lostAnswerError{cause: err}
	}
	return err
}

// isFinal reports whether err settles the outcome of a change, even if an earlier
// answer to it was lost.
func isFinal(err error) bool {
	var conflictError *config.ConflictError
	var validationError *config.ValidationError
	return errors.As(err, &conflictError) || errors.As(err, &validationError)
}

// mayRetryElsewhere reports whether a call that failed with err may succeed at
// another entry, because this one could not be reached, broke off, or cannot reach
// the store.
func mayRetryElsewhere(err error) bool {
	var apiError *admin.APIError
	if errors.As(err, &apiError) {
		return apiError.Status >= http.StatusInternalServerError
	}
	return !isFinal(err)
}

// changedNothing reports whether a call that failed with err has certainly changed
// nothing.
func changedNothing(err error) bool {
	var apiError *admin.APIError
	if errors.As(err, &apiError) {
		return apiError.Status < http.StatusInternalServerError || apiError.NothingChanged()
	}
	var opError *net.OpError
	return isFinal(err) || (errors.As(err, &opError) && opError.Op == "dial")
}

// flagError returns an error about the value of a flag.
func flagError(flag, problem string) error {
	return &setup.ValidationError{Faults: []setup.Fault{{Flag: flag, Problem: problem}}}
}

// adminGroup returns the commands that use the administration API.
func adminGroup() *cli.Command {
	groups := []*cli.Command{
		{Name: "key", Usage: "issue and withdraw access keys", Commands: buildAll(&keyIssueCommand{}, &keyWithdrawCommand{})},
		{Name: "quarantine", Usage: "list and lift quarantines of requests", Commands: buildAll(&quarantineListCommand{}, &quarantineLiftCommand{})},
	}
	return &cli.Command{
		Name: "admin", Usage: "administer a fleet",
		Commands: append(buildAll(
			&changeCommand{}, &changeCommand{preview: true}, &showCommand{}, &historyCommand{},
			&auditCommand{}, &statusCommand{},
		), groups...),
	}
}
