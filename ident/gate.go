package ident

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
)

// staleRetryAfter is the delay after which a caller that was refused because of
// stale configuration may retry.
const staleRetryAfter = time.Second

// Freshness knows how up to date the configuration in force is.
type Freshness interface {
	// Fresh reports whether the configuration in force is known to be the latest.
	Fresh() bool
}

// GateConfig carries what a [Gate] is built from.
type GateConfig struct {
	Source    config.Source
	Freshness Freshness
	Hasher    *Hasher
}

// Gate admits requests by the caller's key. It is safe for concurrent use.
//
// It refuses a key that the configuration in force does not admit. While the
// configuration is not known to be fresh, it refuses every key, because a key
// may have been withdrawn in the meantime.
type Gate struct {
	config GateConfig
}

// NewGate returns a gate.
func NewGate(config GateConfig) *Gate { return &Gate{config: config} }

// Admission identifies the key and the client account of an admitted request. It
// does not contain the secret.
type Admission struct {
	account config.ClientAccount
	key     names.Key
	hash    string
}

// Account returns the client account on whose behalf the request runs.
func (admission Admission) Account() config.ClientAccount { return admission.account }

// Key returns the name of the key that was presented with the request.
func (admission Admission) Key() names.Key { return admission.key }

// Admit returns the admission for secret, or a *[call.Refusal]. It must be
// called for every request, also on a connection that is kept alive.
func (gate *Gate) Admit(secret string) (Admission, error) {
	if secret == "" {
		return Admission{}, unauthorizedRefusal("a key is required")
	}
	return gate.admitHash(gate.config.Hasher.Hash(secret))
}

// Recheck returns a *[call.Refusal] if a request that was admitted earlier would
// not be admitted now. An entry calls it, for requests without output, whenever
// the configuration or its freshness may have changed.
func (gate *Gate) Recheck(admission Admission) error {
	_, err := gate.admitHash(admission.hash)
	return err
}

// CheckRunning returns a *[call.Refusal] if a request that is running on a
// backend server must be canceled because its key was withdrawn or removed. Stale
// configuration alone does not cancel it.
func (gate *Gate) CheckRunning(admission Admission) error {
	snapshot := gate.config.Source.Current()
	if snapshot == nil {
		return nil
	}
	if _, ok := findAdmission(snapshot, admission.hash); !ok {
		return &call.Refusal{Code: call.CodeUnauthorized, Message: "the key was withdrawn", Outcome: call.Run{}}
	}
	return nil
}

func (gate *Gate) admitHash(hash string) (Admission, error) {
	// Freshness is read before the snapshot. If the snapshot changes in between,
	// the answer was about an earlier version, and the newer one is used.
	fresh := gate.config.Freshness.Fresh()
	snapshot := gate.config.Source.Current()
	if snapshot == nil {
		return Admission{}, staleRefusal()
	}
	admission, ok := findAdmission(snapshot, hash)
	if ok && fresh {
		return admission, nil
	}
	_, known := snapshot.KeyByHash(hash)
	if !ok && (known || fresh) {
		return Admission{}, unauthorizedRefusal("the key is not valid")
	}
	return Admission{}, staleRefusal()
}

// findAdmission returns the admission of the key with the given hash, if
// snapshot has the key and its account and the key is not withdrawn.
func findAdmission(snapshot *config.Snapshot, hash string) (Admission, bool) {
	key, ok := snapshot.KeyByHash(hash)
	if !ok || key.Withdrawn() {
		return Admission{}, false
	}
	account, ok := snapshot.Account(key.Account())
	return Admission{account: account, key: key.Name(), hash: hash}, ok
}

func staleRefusal() *call.Refusal {
	return &call.Refusal{
		Code:       call.CodeStale,
		Message:    "the configuration could not be confirmed; try again or elsewhere",
		Outcome:    call.NotRun{},
		RetryAfter: staleRetryAfter,
	}
}
