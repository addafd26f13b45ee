package subcmd

import (
	"context"
	"errors"
	"fmt"
	"net/url"

	"github.com/ansel1/merry/v2"

	"github.com/basilkeel/basilkeel/admin"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/quiz"
)

// applyAttempts bounds how often a change is sent if its answers are lost, and how
// often a key is requested if the requests conflict with other changes.
const applyAttempts = 4

// applyPlan applies the change of a plan, then issues its keys.
func (command *quizCommand) applyPlan(ctx context.Context, plan *quiz.Plan) error {
	client, err := command.access.client()
	if err != nil {
		return err
	}
	version := plan.Change().Expected
	if len(plan.Differences()) > 0 {
		outcome, err := applyChange(ctx, client, plan.Change())
		if err != nil {
			return describeApplyError(err)
		}
		version = outcome.Record.Version
		fmt.Fprintf(command.output, "Version %d is accepted, in force on %d of %d instances.\n", version, outcome.Rollout.Instances, outcome.Rollout.Live)
	}
	for _, key := range plan.Keys() {
		outcome, secret, err := issueKey(ctx, client, version, key)
		if err != nil {
			return merry.Prependf(err, "key %s (run quiz again for the keys that are left; if %s exists then, its secret is lost: withdraw it and choose another name)", key.Name, key.Name)
		}
		version = outcome.Record.Version
		fmt.Fprintf(command.output, "Key %s for %s, shown only now: %s\n", key.Name, key.Account, secret)
	}
	return nil
}

// applyChange applies a change, and repeats it after a lost answer; its id makes
// the repeat safe.
func applyChange(ctx context.Context, client *admin.Client, change config.Change) (admin.Outcome, error) {
	var outcome admin.Outcome
	var err error
	for range applyAttempts {
		outcome, err = client.Apply(ctx, change)
		var urlError *url.Error
		if !errors.As(err, &urlError) || ctx.Err() != nil {
			break
		}
	}
	return outcome, err
}

// describeApplyError adds to the error of a change what the user can do about it.
func describeApplyError(err error) error {
	var conflictError *config.ConflictError
	var urlError *url.Error
	switch {
	case errors.As(err, &conflictError):
		return merry.Prepend(err, "another change came first; run quiz again to see the difference to it")
	case errors.As(err, &urlError):
		return merry.Prepend(err, "no answer; the change may be in force, run quiz again to see")
	default:
		return err
	}
}

// issueKey issues a key at the latest version, and repeats it after a conflict with
// another change. It does not repeat it after a lost answer, because the secret of
// the key is lost with the answer.
func issueKey(ctx context.Context, client *admin.Client, version config.Version, key quiz.KeyRequest) (admin.Outcome, string, error) {
	var outcome admin.Outcome
	var secret string
	var err error
	for range applyAttempts {
		id := config.ChangeID(fmt.Sprintf("quiz-key-%d-%s", version, config.HashOf([]byte(key.Name))))
		outcome, secret, err = client.IssueKey(ctx, id, version, key.Name, key.Account)
		var conflictError *config.ConflictError
		if !errors.As(err, &conflictError) {
			break
		}
		version = conflictError.Current
	}
	return outcome, secret, err
}
