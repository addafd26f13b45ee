package share

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

const (
	// evenPart is the part of an account's limits that is divided evenly, so that an
	// entry whose callers begin to use an account is not empty-handed.
	evenPart = 0.3
	// smallestMove is the least change of a share that is worth a message.
	smallestMove = 0.04
	// whole is what the shares of an account add up to; the rest guards against
	// rounding.
	whole = 0.999
)

// Assigned is the set that an entry is to hold.
type Assigned struct {
	Term    int64
	Version int64
	Shares  Set
}

// DividerConfig carries what a [Divider] is built from.
type DividerConfig struct {
	// Term is the coordinator's.
	Term int64
	Now  time.Time
	// Known lists the instances that may hold shares of former terms.
	Known []names.Instance
}

// Divider divides limits between entries for one term of a coordinator. It is
// not safe for concurrent use.
type Divider struct {
	config  DividerConfig
	holders map[names.Instance]*holding
	version int64
}

// holding is what one entry may hold.
type holding struct {
	// heard is the last message, zero where there was none in this term.
	heard time.Time
	// assigned is the set sent last; possible is at least what is in force there.
	assigned Set
	version  int64
	possible Set
	usage    Set
}

// NewDivider returns a divider that knows nothing of what is held.
func NewDivider(config DividerConfig) *Divider {
	divider := &Divider{config: config, holders: map[names.Instance]*holding{}}
	for _, instance := range config.Known {
		divider.holders[instance] = &holding{}
	}
	return divider
}

// Report takes over what an entry says and returns what it is to hold.
func (divider *Divider) Report(instance names.Instance, held Held, accounts []names.ClientAccount, now time.Time) Assigned {
	known, found := divider.holders[instance]
	if !found {
		known = &holding{}
		divider.holders[instance] = known
	}
	known.heard = now
	known.usage = held.Usage
	if known.assigned == nil {
		known.assigned = held.Shares
	}
	if held.Term == divider.config.Term && held.Version == known.version {
		known.possible = known.assigned
	} else {
		known.possible = larger(known.assigned, held.Shares)
	}
	divider.assign(known, accounts, now)
	return Assigned{Term: divider.config.Term, Version: known.version, Shares: known.assigned}
}

// assign moves the set of one holder towards its target as far as the others
// leave room.
func (divider *Divider) assign(known *holding, accounts []names.ClientAccount, now time.Time) {
	next := Set{}
	changed := false
	for _, account := range accounts {
		old := known.assigned[account]
		wanted := divider.target(known, account, now)
		if wanted > old {
			wanted = max(old, min(wanted, divider.room(known, account, now)))
		}
		if wanted > old-smallestMove && wanted < old+smallestMove {
			wanted = old
		}
		next[account] = wanted
		changed = changed || wanted != old
	}
	if !changed {
		return
	}
	divider.version++
	known.version = divider.version
	known.possible = larger(known.possible, next)
	known.assigned = next
}

// room is what an entry may hold of an account so that all together hold no more
// than the whole.
func (divider *Divider) room(holder *holding, account names.ClientAccount, now time.Time) float64 {
	left := whole
	for _, other := range divider.holders {
		switch {
		case other == holder:
		case divider.silent(other, now):
		case other.heard.IsZero():
			// It may hold all of it.
			return 0
		default:
			left -= max(other.possible[account], other.assigned[account])
		}
	}
	return max(left, 0)
}

// silent tells whether whatever an entry held has ended by its own clock.
func (divider *Divider) silent(holder *holding, now time.Time) bool {
	last := holder.heard
	if last.IsZero() {
		last = divider.config.Now
	}
	return now.Sub(last) > Lifetime
}

// target is the share of an account that an entry should have.
func (divider *Divider) target(holder *holding, account names.ClientAccount, now time.Time) float64 {
	total, count := 0.0, 0.0
	for _, other := range divider.holders {
		if other.heard.IsZero() || divider.silent(other, now) {
			continue
		}
		count++
		total += other.usage[account]
	}
	if total <= 0 {
		return whole / count
	}
	return whole * (evenPart/count + (1-evenPart)*holder.usage[account]/total)
}

func larger(a, b Set) Set {
	result := Set{}
	for account, share := range a {
		result[account] = share
	}
	for account, share := range b {
		result[account] = max(result[account], share)
	}
	return result
}
