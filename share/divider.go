package share

import (
	"maps"
	"time"

	"github.com/basilkeel/basilkeel/names"
)

const (
	// evenFraction is the part of an account's limits that is divided evenly, so that
	// an entry has a share when its callers begin to use an account.
	evenFraction = 0.3
	// minChange is the smallest change of a share that is worth a write to the store,
	// as a part of an even share. It is large because shares are used only without a
	// coordinator.
	minChange = 0.5
	// sharesTotal is the upper bound of the sum of an account's shares. It is below 1
	// so that rounding cannot exceed the limits.
	sharesTotal = 0.999
	// endAfter is how long an entry is silent before the record marks its shares as
	// ending. Entries report four times a second and to a new coordinator within a
	// second; a share that is marked has to be assigned anew.
	endAfter = 2 * time.Second
	// restartLifetime is how long after the mark was proposed a restarted process may
	// use a share that it read just before the mark was stored. It leaves a second for
	// the write and the read.
	restartLifetime = StartLifetime + time.Second
)

// Assignment is the coordinator's answer to an entry's report.
type Assignment struct {
	// Term and Version identify the assigned shares.
	Term    int64
	Version int64
	Shares  Amounts
	// Lent is added to what the entry has left of earlier loans.
	Lent Amounts
}

// DividerConfig configures a [Divider].
type DividerConfig struct {
	// Term is the coordinator's term, which begins at Now.
	Term int64
	Now  time.Time
	// Record is the record stored in the platform's key-value service.
	Record Record
}

// Divider computes the entries' shares during one term of a coordinator. It is
// not safe for concurrent use.
type Divider struct {
	config  DividerConfig
	record  Record
	entries map[names.Instance]*entryState
	version int64
}

// entryState is what the coordinator knows of one entry.
type entryState struct {
	// lastReport is the time of the last report, zero if there was none in this term.
	lastReport time.Time
	// assigned holds the shares assigned last, and version their version.
	assigned Amounts
	version  int64
	// inForceAtMost bounds the shares that are in force at the entry from above:
	// a lowered share counts until the entry confirms it.
	inForceAtMost Amounts
	usage         Amounts
	// ending reports whether the stored record may mark the shares as ending, and
	// marked whether it certainly does. All of them have ended at endsAt then.
	ending bool
	marked bool
	endsAt time.Time
	// withdrawn reports whether an entry that reports again was assigned no shares
	// since they were marked.
	withdrawn bool
}

// NewDivider returns a divider that knows the recorded shares and no reports.
func NewDivider(config DividerConfig) *Divider {
	divider := &Divider{config: config, record: config.Record.clone(), entries: map[names.Instance]*entryState{}}
	for instance, holder := range divider.record {
		divider.entries[instance] = &entryState{
			assigned: maps.Clone(holder.Shares), inForceAtMost: maps.Clone(holder.Shares),
			ending: holder.Ending, marked: holder.Ending, endsAt: config.Now.Add(holder.Left),
		}
	}
	return divider
}

// Report stores an entry's state and returns its assignment.
func (divider *Divider) Report(instance names.Instance, state State, now time.Time) Assignment {
	entry, found := divider.entries[instance]
	if !found {
		entry = &entryState{assigned: Amounts{}, inForceAtMost: Amounts{}}
		divider.entries[instance] = entry
	}
	entry.lastReport = now
	entry.usage = state.Usage
	if entry.ending && !entry.withdrawn {
		// A later coordinator counts these shares until endsAt only, so that none may be
		// in force longer before a record without the mark is stored.
		entry.assigned, entry.withdrawn = Amounts{}, true
		divider.version++
		entry.version = divider.version
	}
	if state.Term == divider.config.Term && state.Version == entry.version {
		entry.inForceAtMost = maps.Clone(entry.assigned)
	}
	return Assignment{Term: divider.config.Term, Version: entry.version, Shares: maps.Clone(entry.assigned)}
}

// Propose lowers shares that are above their target, and marks those of silent entries
// as ending. It returns the record that has to be stored before other shares are raised,
// and reports whether it has to be stored now.
func (divider *Divider) Propose(accounts []names.ClientAccount, now time.Time) (Record, bool) {
	next := Record{}
	changed := false
	for instance, entry := range divider.entries {
		if divider.expired(entry, now) {
			delete(divider.entries, instance)
			continue
		}
		divider.markSilent(entry, now)
		holder := Holder{Shares: Amounts{}, Ending: entry.ending}
		if entry.ending {
			holder.Left = max(entry.endsAt.Sub(now), 0)
		}
		for _, account := range accounts {
			holder.Shares[account] = max(entry.inForceAtMost[account], entry.assigned[account])
		}
		next[instance] = holder
		changed = changed || entry.ending && !entry.marked
	}
	for instance := range divider.record {
		_, known := divider.entries[instance]
		changed = changed || !known
	}
	for _, account := range accounts {
		use := divider.accountUse(account, now)
		divider.lower(account, use)
		left := sharesTotal
		for instance := range next {
			left -= next[instance].Shares[account]
		}
		changed = divider.raise(next, account, left, use, now) || changed
	}
	return next, changed
}

// markSilent marks the shares of an entry that has been silent for endAfter as ending. If
// the entry reports again after they have ended, it has none.
func (divider *Divider) markSilent(entry *entryState, now time.Time) {
	last := divider.lastContact(entry)
	switch {
	case !entry.marked && now.Sub(last) > endAfter:
		entry.ending = true
		entry.endsAt = now.Add(max(last.Add(Lifetime).Sub(now), restartLifetime))
	case entry.marked && now.After(entry.endsAt):
		entry.inForceAtMost = maps.Clone(entry.assigned)
	}
}

// lower assigns smaller shares to entries that are above their target. This
// needs no write: the record holds the upper bound of each share.
func (divider *Divider) lower(account names.ClientAccount, use accountUse) {
	for _, entry := range divider.entries {
		if entry.lastReport.IsZero() || entry.ending {
			continue
		}
		target := use.target(entry.usage[account])
		if entry.assigned[account] > target+divider.leastChange() {
			entry.assigned[account] = target
			divider.version++
			entry.version = divider.version
		}
	}
}

// raise raises the shares in next of entries below their target, by at most left
// in total, and reports whether it raised any.
func (divider *Divider) raise(next Record, account names.ClientAccount, left float64, use accountUse, now time.Time) bool {
	missing := 0.0
	for _, entry := range divider.entries {
		if divider.raisable(entry, now) {
			missing += max(use.target(entry.usage[account])-entry.assigned[account], 0)
		}
	}
	if missing <= 0 || left <= 0 {
		return false
	}
	raised := false
	for instance, entry := range divider.entries {
		if !divider.raisable(entry, now) {
			continue
		}
		add := max(use.target(entry.usage[account])-entry.assigned[account], 0) * min(left/missing, 1)
		if add > divider.leastChange() {
			holder := next[instance]
			holder.Shares[account] = max(holder.Shares[account], entry.assigned[account]+add)
			holder.Ending, holder.Left = false, 0
			next[instance] = holder
			raised = true
		}
	}
	return raised
}

// raisable reports whether an entry's shares may be raised: it has reported and, if its
// shares are ending, has confirmed that it has none.
func (divider *Divider) raisable(entry *entryState, now time.Time) bool {
	if entry.lastReport.IsZero() {
		return false
	}
	if !entry.ending {
		return true
	}
	for _, part := range entry.inForceAtMost {
		if part > 0 {
			return false
		}
	}
	return entry.withdrawn && now.Sub(entry.lastReport) <= reportTimeout
}

// Commit raises the shares to those of a proposed record that has been stored.
func (divider *Divider) Commit(record Record) {
	divider.record = record.clone()
	for instance, entry := range divider.entries {
		holder, listed := record[instance]
		if !listed {
			continue
		}
		entry.marked = holder.Ending
		if entry.ending && !holder.Ending {
			entry.ending, entry.withdrawn = false, false
		}
		if entry.lastReport.IsZero() || holder.Ending {
			continue
		}
		for account, part := range holder.Shares {
			// A share that was lowered and is not yet confirmed stays lowered.
			if part > entry.inForceAtMost[account] {
				entry.assigned[account] = part
				entry.inForceAtMost[account] = part
				divider.version++
				entry.version = divider.version
			}
		}
	}
}

// leastChange returns the smallest change of a share that is made.
func (divider *Divider) leastChange() float64 {
	return minChange / float64(max(len(divider.entries), 1))
}

// lendablePart returns the part of an account's limits that no entry can be using
// as its share. If exclusive is not set, another coordinator may have been elected,
// and the part is at most what the record grants to the entries that have reported
// within reportTimeout.
func (divider *Divider) lendablePart(account names.ClientAccount, exclusive bool, now time.Time) float64 {
	part, granted := sharesTotal, 0.0
	for instance, entry := range divider.entries {
		if entry.lastReport.IsZero() || now.Sub(entry.lastReport) > reportTimeout {
			part -= max(entry.inForceAtMost[account], entry.assigned[account])
		} else if !entry.ending {
			granted += divider.record[instance].Shares[account]
		}
	}
	if !exclusive {
		return min(max(part, 0), granted)
	}
	return max(part, 0)
}

// ReportingPart returns the part of the entries that follow this coordinator: those that
// have reported within reportTimeout, of all that may be running. The others may follow
// another coordinator or none.
func (divider *Divider) ReportingPart(now time.Time) float64 {
	reporting, known := 0.0, 0.0
	for _, entry := range divider.entries {
		if divider.expired(entry, now) {
			continue
		}
		known++
		if !entry.lastReport.IsZero() && now.Sub(entry.lastReport) <= reportTimeout {
			reporting++
		}
	}
	return reporting / max(known, 1)
}

// expired reports whether all shares of an entry have expired by its own clock, that of
// a process which has restarted meanwhile included.
func (divider *Divider) expired(entry *entryState, now time.Time) bool {
	last := divider.lastContact(entry)
	if now.Sub(last) <= reportTimeout {
		return false
	}
	return entry.marked && now.After(entry.endsAt) || now.Sub(last) > Lifetime+StartLifetime
}

// lastContact returns the time of an entry's last report, or of the start of the term if
// there was none: another coordinator may have answered the entry until then.
func (divider *Divider) lastContact(entry *entryState) time.Time {
	if entry.lastReport.IsZero() {
		return divider.config.Now
	}
	return entry.lastReport
}

// accountUse is the use of an account by the entries that have reported within Lifetime.
type accountUse struct {
	// entries is their number, and total the sum of what they use in a second.
	entries float64
	total   float64
}

// accountUse returns the use of an account. It visits all entries, so that it is computed
// once for all their targets.
func (divider *Divider) accountUse(account names.ClientAccount, now time.Time) accountUse {
	use := accountUse{}
	for _, entry := range divider.entries {
		if entry.lastReport.IsZero() || now.Sub(entry.lastReport) > Lifetime {
			continue
		}
		use.entries++
		use.total += entry.usage[account]
	}
	return use
}

// target returns the share of the account that an entry should have that uses the given
// amount in a second.
func (use accountUse) target(usage float64) float64 {
	if use.entries == 0 {
		return 0
	}
	if use.total <= 0 {
		return sharesTotal / use.entries
	}
	return sharesTotal * (evenFraction/use.entries + (1-evenFraction)*usage/use.total)
}
