package ident

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
)

// staleRetry is when a caller refused for stale configuration may come back.
const staleRetry = time.Second

// Freshness tells whether the configuration in force is known to be the latest.
type Freshness interface {
	Fresh() bool
}

// GateConfig carries what a [Gate] is built from.
type GateConfig struct {
	Source    config.Source
	Freshness Freshness
	Hasher    *Hasher
}

// Gate admits requests on keys. It is safe for concurrent use.
//
// A key that the configuration in force does not admit is refused. A key that
// it does admit is refused, too, while the configuration is not known to be
// fresh, since it may have been withdrawn.
type Gate struct {
	config GateConfig
}

// NewGate returns a gate.
func NewGate(config GateConfig) *Gate { return &Gate{config: config} }

// Admission is the outcome of an admitted request. It holds no secret.
type Admission struct {
	account config.ClientAccount
	key     names.Key
	hash    string
}

// Account is the client account on whose behalf the request runs.
func (admission Admission) Account() config.ClientAccount { return admission.account }

// Key names the key that came with the request.
func (admission Admission) Key() names.Key { return admission.key }

// Admit returns the admission that secret gives now, or a *[call.Refusal]. It
// is asked for each request, also on a connection that was kept alive.
func (gate *Gate) Admit(secret string) (Admission, error) {
	if secret == "" {
		return Admission{}, unauthorized("a key is required")
	}
	return gate.admit(gate.config.Hasher.Hash(secret))
}

// Recheck returns a *[call.Refusal] where a request admitted earlier would not
// be admitted now. It is asked when a request leaves a queue, and again before
// each attempt.
func (gate *Gate) Recheck(admission Admission) error {
	_, err := gate.admit(admission.hash)
	return err
}

// CheckRunning returns a *[call.Refusal] where a request that a backend server runs
// is to be cut, because its key was withdrawn. Configuration that is not fresh
// does not cut it.
func (gate *Gate) CheckRunning(admission Admission) error {
	snapshot := gate.config.Source.Current()
	if snapshot == nil {
		return nil
	}
	if _, ok := admitting(snapshot, admission.hash); !ok {
		return &call.Refusal{Code: call.CodeUnauthorized, Message: "the key was withdrawn", Outcome: call.Run{}}
	}
	return nil
}

func (gate *Gate) admit(hash string) (Admission, error) {
	// Freshness is asked first: it then speaks of the snapshot read next, or of
	// an earlier one.
	fresh := gate.config.Freshness.Fresh()
	snapshot := gate.config.Source.Current()
	if snapshot == nil {
		return Admission{}, stale()
	}
	admission, ok := admitting(snapshot, hash)
	if ok && fresh {
		return admission, nil
	}
	_, known := snapshot.KeyByHash(hash)
	if !ok && (known || fresh) {
		return Admission{}, unauthorized("the key is not valid")
	}
	return Admission{}, stale()
}

// admitting returns the admission that snapshot gives.
func admitting(snapshot *config.Snapshot, hash string) (Admission, bool) {
	key, ok := snapshot.KeyByHash(hash)
	if !ok || key.Withdrawn() {
		return Admission{}, false
	}
	account, ok := snapshot.Account(key.Account())
	return Admission{account: account, key: key.Name(), hash: hash}, ok
}

func stale() *call.Refusal {
	return &call.Refusal{
		Code:       call.CodeStale,
		Message:    "the configuration could not be confirmed; try again or elsewhere",
		Outcome:    call.NotRun{},
		RetryAfter: staleRetry,
	}
}
