package config

import "slices"

// ChangeID identifies a change. The author chooses it, so that a change sent
// again after a lost answer is recognized.
type ChangeID string

// Change is a list of edits that are applied atomically.
type Change struct {
	ID ChangeID
	// Operator is the name of the operator who makes the change.
	Operator string
	// Expected is the version that the edits are based on.
	Expected Version
	Edits    []Edit
}

// Apply returns the result of applying change to snapshot. The record last is
// that of the change that produced snapshot. Apply returns a *[ConflictError]
// if change expects another version, and a *[ValidationError] with every fault
// if the change or its result is not valid.
func Apply(snapshot *Snapshot, last Record, change Change) (*Snapshot, error) {
	if change.Expected != snapshot.Version() {
		return nil, &ConflictError{
			Expected: change.Expected,
			Current:  snapshot.Version(),
			ChangeID: last.ChangeID,
			Operator: last.Operator,
		}
	}
	faults := changeFaults(change)
	if len(faults) > 0 {
		return nil, &ValidationError{Faults: faults}
	}
	draft := newDraft(snapshot)
	for _, edit := range change.Edits {
		faults = append(faults, draft.apply(edit)...)
	}
	next := draft.snapshot(snapshot.Version() + 1)
	faults = append(faults, Faults(next)...)
	if len(faults) > 0 {
		return nil, &ValidationError{Faults: faults}
	}
	return next, nil
}

func changeFaults(change Change) []Fault {
	var faults []Fault
	if problem := nameProblem(string(change.ID)); problem != "" {
		faults = append(faults, Fault{Path: "changeId", Problem: problem})
	}
	if len(change.Edits) == 0 {
		faults = append(faults, Fault{Path: "edits", Problem: "is empty"})
	}
	if len(change.Edits) > MaxEdits {
		faults = append(faults, countFault("edits", len(change.Edits), MaxEdits))
	}
	if slices.Contains(change.Edits, nil) {
		faults = append(faults, Fault{Path: "edits", Problem: "has an edit that is missing"})
	}
	return faults
}
