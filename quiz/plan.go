package quiz

import (
	"fmt"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
)

// Plan holds the changes to the current configuration that implement a set of
// answers.
type Plan struct {
	answers     Answers
	current     *config.Snapshot
	next        *config.Snapshot
	change      config.Change
	differences []config.Difference
	keys        []KeyRequest
}

// KeyRequest is a key that has to be issued.
type KeyRequest struct {
	Name    names.Key
	Account names.ClientAccount
}

// NewPlan returns the plan for answers that [Check] accepts. If their keys
// conflict with those of the current configuration, the error is a
// *[FaultsError].
func NewPlan(answers Answers, current *config.Snapshot) (*Plan, error) {
	plan := &Plan{answers: answers, current: current, change: NewChange(&answers, current)}
	next, err := config.Apply(current, config.Record{}, plan.change)
	if err != nil {
		return nil, err
	}
	plan.next = next
	plan.differences = config.Diff(current, next)
	if faults := plan.planKeys(); len(faults) > 0 {
		return nil, &FaultsError{Faults: faults}
	}
	return plan, nil
}

// planKeys collects the keys that do not exist yet. It returns a fault for each
// name that is taken by a withdrawn key or by a key of another account.
func (plan *Plan) planKeys() []Fault {
	known := make(map[string]config.Key, len(plan.current.Keys()))
	for _, key := range plan.current.Keys() {
		known[string(key.Name())] = key
	}
	var faults []Fault
	for i := range plan.answers.Accounts {
		account := &plan.answers.Accounts[i]
		for _, name := range account.Keys {
			key, exists := known[name]
			path := fmt.Sprintf("accounts/%d/keys", i)
			switch {
			case !exists:
				plan.keys = append(plan.keys, KeyRequest{Name: names.Key(name), Account: names.ClientAccount(account.Name)})
			case key.Withdrawn():
				faults = append(faults, Fault{Question: path, Problem: fmt.Sprintf("key %s is withdrawn; choose another name", name)})
			case string(key.Account()) != account.Name:
				faults = append(faults, Fault{Question: path, Problem: fmt.Sprintf("key %s exists for client account %s", name, key.Account())})
			}
		}
	}
	return faults
}

// Change returns the change of configuration that implements the answers.
func (plan *Plan) Change() config.Change { return plan.change }

// Differences returns what the change alters. It is empty if the answers are
// already in force.
func (plan *Plan) Differences() []config.Difference { return plan.differences }

// Keys returns the keys that have to be issued. The administration API creates
// their secrets, which are stored in no file.
func (plan *Plan) Keys() []KeyRequest { return plan.keys }
