package admin

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/ident"
	"github.com/basilkeel/basilkeel/names"
)

const (
	// withdrawAttempts bounds the attempts of a withdrawal that conflicts with
	// concurrent changes. Each attempt uses the latest version.
	withdrawAttempts = 8
	// rolloutWait bounds how long a response waits until the change is in force
	// on all live instances.
	rolloutWait         = 2 * time.Second
	rolloutPollInterval = 200 * time.Millisecond
)

// apply validates, stores and publishes a change.
func (server *Server) apply(ctx context.Context, change config.Change) (Outcome, error) {
	if err := server.checkSigning(ctx, change); err != nil {
		return Outcome{}, err
	}
	record, err := server.config.Repository.Commit(ctx, change)
	if err != nil {
		return Outcome{}, err
	}
	return server.publish(ctx, record), nil
}

// publish brings the latest version into force and waits up to rolloutWait for
// the other instances. The change is already stored, and the relays read the
// key-value service too, so a failure here only delays the change.
func (server *Server) publish(ctx context.Context, record config.Record) Outcome {
	outcome := Outcome{Record: record}
	bundle, err := server.config.Repository.Load(ctx)
	if err == nil {
		err = server.config.Publisher.Adopt(bundle)
	}
	outcome.Announced = err == nil && server.config.Publisher.Publish(ctx, record.Version)
	deadline := server.config.Clock.Now().Add(rolloutWait)
	for {
		outcome.Rollout = server.config.Publisher.Rollout(ctx, record.Version)
		everywhere := outcome.Rollout.Instances >= outcome.Rollout.Live
		if everywhere || !outcome.Announced || server.config.Clock.Now().After(deadline) {
			return outcome
		}
		select {
		case <-ctx.Done():
			return outcome
		case <-server.config.Clock.After(rolloutPollInterval):
		}
	}
}

// withdraw withdraws a key, starting from the latest version and retrying on
// conflicts.
func (server *Server) withdraw(ctx context.Context, id config.ChangeID, operator string, key names.Key) (Outcome, error) {
	var err error
	for range withdrawAttempts {
		root, rootErr := server.config.Repository.Root(ctx)
		if rootErr != nil {
			return Outcome{}, rootErr
		}
		change := config.Change{ID: id, Operator: operator, Expected: root.Version(), Edits: []config.Edit{config.WithdrawKey{Name: key}}}
		var outcome Outcome
		outcome, err = server.apply(ctx, change)
		var conflictError *config.ConflictError
		if !errors.As(err, &conflictError) {
			return outcome, err
		}
	}
	return Outcome{}, err
}

// issue creates a key and returns its secret, which is not stored.
func (server *Server) issue(ctx context.Context, request issueDocument, operator string) (Outcome, string, error) {
	snapshot, err := server.snapshot(ctx)
	if err != nil {
		return Outcome{}, "", err
	}
	if keyExists(snapshot, request.Name) {
		fault := config.Fault{Path: "keys/" + string(request.Name), Problem: "exists already"}
		return Outcome{}, "", &config.ValidationError{Faults: []config.Fault{fault}}
	}
	secret := ident.NewSecret()
	key := config.NewKey(config.KeyConfig{
		Name:    request.Name,
		Account: request.Account,
		Hash:    server.config.Hasher.Hash(secret),
	})
	outcome, err := server.apply(ctx, config.Change{
		ID:       config.ChangeID(request.ChangeID),
		Operator: operator,
		Expected: config.Version(request.Expected),
		Edits:    []config.Edit{config.PutKey{Key: key}},
	})
	return outcome, secret, err
}

// snapshot returns the configuration in force at this instance, or the stored one if
// none is in force here yet.
func (server *Server) snapshot(ctx context.Context) (*config.Snapshot, error) {
	if snapshot := server.config.Publisher.Current(); snapshot != nil {
		return snapshot, nil
	}
	bundle, err := server.config.Repository.Load(ctx)
	if err != nil {
		return nil, err
	}
	return bundle.Snapshot()
}

func keyExists(snapshot *config.Snapshot, name names.Key) bool {
	for _, key := range snapshot.Keys() {
		if key.Name() == name {
			return true
		}
	}
	return false
}

// requiredRole returns the role that an operator needs to make a change.
func requiredRole(change config.Change) Role {
	for _, edit := range change.Edits {
		switch edit.(type) {
		case config.PutSigningKey, config.RemoveSigningKey:
			return RoleOwner
		default:
		}
	}
	return RoleEditor
}

// checkSigning returns a *[config.ValidationError] with the faults of
// [Server.signingFaults].
func (server *Server) checkSigning(ctx context.Context, change config.Change) error {
	if requiredRole(change) != RoleOwner {
		return nil
	}
	snapshot, err := server.snapshot(ctx)
	if err != nil {
		return err
	}
	if faults := server.signingFaults(snapshot.SigningKeys(), change); len(faults) > 0 {
		return &config.ValidationError{Faults: faults}
	}
	return nil
}

// signingFaults lists the edits of signing keys after which instances would
// reject valid tickets: a new or changed key that signs before instances have
// learned of it, or the removal of a key whose tickets are still accepted.
func (server *Server) signingFaults(keys []config.SigningKey, change config.Change) []config.Fault {
	now := server.config.Clock.Now()
	var faults []config.Fault
	for _, edit := range change.Edits {
		switch edit := edit.(type) {
		case config.PutSigningKey:
			earliest := now.Add(ident.SigningOverlap)
			if !hasSigningKey(keys, edit.SigningKey) && edit.SigningKey.SignFrom().Before(earliest) {
				problem := fmt.Sprintf("is before %s; instances have to learn of the key first", earliest.UTC().Format(time.RFC3339))
				faults = append(faults, config.Fault{Path: "signingKeys/" + edit.SigningKey.ID() + "/signFrom", Problem: problem})
			}
		case config.RemoveSigningKey:
			if ident.SigningKeyValid(keys, edit.ID, now) {
				faults = append(faults, config.Fault{Path: "signingKeys/" + edit.ID, Problem: "is still in use"})
			}
		default:
		}
	}
	return faults
}

// hasSigningKey reports whether keys has a key with the same id and the same
// SignFrom time as signingKey.
func hasSigningKey(keys []config.SigningKey, signingKey config.SigningKey) bool {
	for _, key := range keys {
		if key.ID() == signingKey.ID() && key.SignFrom().Equal(signingKey.SignFrom()) {
			return true
		}
	}
	return false
}
