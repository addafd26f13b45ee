package share

import (
	"maps"
	"time"

	"github.com/basilkeel/basilkeel/names"
)

const (
	// evenPart is the part of an account's limits that is divided evenly, so that an
	// entry whose callers begin to use an account is not empty-handed.
	evenPart = 0.3
	// smallestMove is the least change of a share that is worth a write, as a part of
	// an even share. Shares are used only without a coordinator.
	smallestMove = 0.5
	// whole is what the shares of an account add up to; the rest guards against
	// rounding.
	whole = 0.999
)

// Assignment is the set that an entry is to hold.
type Assignment struct {
	Term    int64
	Version int64
	Shares  Amounts
	// Lent is added to what the entry has left of former loans.
	Lent Amounts
}

// DividerConfig carries what a [Divider] is built from.
type DividerConfig struct {
	// Term is the coordinator's.
	Term int64
	Now  time.Time
	// Record is what the platform's service holds.
	Record Record
}

// Divider divides limits between entries for one term of a coordinator. It is
// not safe for concurrent use.
type Divider struct {
	config  DividerConfig
	record  Record
	holders map[names.Instance]*holding
	version int64
}

// holding is what one entry may hold.
type holding struct {
	// heard is the last message, zero where there was none in this term.
	heard time.Time
	// assigned is the set sent last; possible is at least what is in force there.
	assigned Amounts
	version  int64
	possible Amounts
	usage    Amounts
}

// NewDivider returns a divider that knows only the record.
func NewDivider(config DividerConfig) *Divider {
	divider := &Divider{config: config, record: config.Record.clone(), holders: map[names.Instance]*holding{}}
	for instance, amounts := range divider.record {
		divider.holders[instance] = &holding{assigned: maps.Clone(amounts), possible: maps.Clone(amounts)}
	}
	return divider
}

// Report takes over what an entry says and returns what it is to hold.
func (divider *Divider) Report(instance names.Instance, state State, now time.Time) Assignment {
	known, found := divider.holders[instance]
	if !found {
		known = &holding{assigned: Amounts{}, possible: Amounts{}}
		divider.holders[instance] = known
	}
	known.heard = now
	known.usage = state.Usage
	if state.Term == divider.config.Term && state.Version == known.version {
		known.possible = maps.Clone(known.assigned)
	}
	return Assignment{Term: divider.config.Term, Version: known.version, Shares: maps.Clone(known.assigned)}
}

// Propose lowers shares that are above their target, and returns the record that
// has to be kept before others can be raised, and whether there are any.
func (divider *Divider) Propose(accounts []names.ClientAccount, now time.Time) (Record, bool) {
	next := Record{}
	raised := false
	for instance, known := range divider.holders {
		if divider.silent(known, now) {
			delete(divider.holders, instance)
		}
	}
	for instance, known := range divider.holders {
		next[instance] = Amounts{}
		for _, account := range accounts {
			next[instance][account] = max(known.possible[account], known.assigned[account])
		}
	}
	for _, account := range accounts {
		divider.lower(account, now)
		left := whole
		for instance := range next {
			left -= next[instance][account]
		}
		raised = divider.raise(next, account, left, now) || raised
	}
	return next, raised
}

// lower assigns less to entries that hold more than they should. It changes
// nothing that has to be kept.
func (divider *Divider) lower(account names.ClientAccount, now time.Time) {
	for _, known := range divider.holders {
		if known.heard.IsZero() {
			continue
		}
		target := divider.target(known, account, now)
		if known.assigned[account] > target+divider.move() {
			known.assigned[account] = target
			divider.version++
			known.version = divider.version
		}
	}
}

// raise adds to entries that hold less than they should, as far as there is
// something left.
func (divider *Divider) raise(next Record, account names.ClientAccount, left float64, now time.Time) bool {
	missing := 0.0
	for _, known := range divider.holders {
		if !known.heard.IsZero() {
			missing += max(divider.target(known, account, now)-known.assigned[account], 0)
		}
	}
	if missing <= 0 || left <= 0 {
		return false
	}
	raised := false
	for instance, known := range divider.holders {
		if known.heard.IsZero() {
			continue
		}
		add := max(divider.target(known, account, now)-known.assigned[account], 0) * min(left/missing, 1)
		if add > divider.move() {
			next[instance][account] = max(next[instance][account], known.assigned[account]+add)
			raised = true
		}
	}
	return raised
}

// Commit tells that a proposed record is kept; shares rise to it.
func (divider *Divider) Commit(record Record) {
	divider.record = record.clone()
	for instance, known := range divider.holders {
		if known.heard.IsZero() {
			continue
		}
		for account, part := range record[instance] {
			// What was lowered and is not yet confirmed stays lowered.
			if part > known.possible[account] {
				known.assigned[account] = part
				known.possible[account] = part
				divider.version++
				known.version = divider.version
			}
		}
	}
}

// move is the least change of a share that is made.
func (divider *Divider) move() float64 { return smallestMove / float64(max(len(divider.holders), 1)) }

// reporting is the part of an account's limits that no entry uses on its own.
// Without exclusive right, as another coordinator may have been elected, it is
// only what the record grants to the entries that report here.
func (divider *Divider) reporting(account names.ClientAccount, exclusive bool, now time.Time) float64 {
	part, granted := whole, 0.0
	for instance, known := range divider.holders {
		if known.heard.IsZero() || now.Sub(known.heard) > silentAfter {
			part -= max(known.possible[account], known.assigned[account])
		} else {
			granted += divider.record[instance][account]
		}
	}
	if !exclusive {
		return min(max(part, 0), granted)
	}
	return max(part, 0)
}

// silent tells whether whatever an entry held has ended by its own clock.
func (divider *Divider) silent(holder *holding, now time.Time) bool {
	last := holder.heard
	if last.IsZero() {
		last = divider.config.Now
	}
	return now.Sub(last) > Lifetime+StartLifetime
}

// target is the share of an account that an entry should have.
func (divider *Divider) target(holder *holding, account names.ClientAccount, now time.Time) float64 {
	total, count := 0.0, 0.0
	for _, other := range divider.holders {
		if other.heard.IsZero() || now.Sub(other.heard) > Lifetime {
			continue
		}
		count++
		total += other.usage[account]
	}
	if count == 0 {
		return 0
	}
	if total <= 0 {
		return whole / count
	}
	return whole * (evenPart/count + (1-evenPart)*holder.usage[account]/total)
}
