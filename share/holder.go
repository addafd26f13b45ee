package share

import (
	"maps"
	"sync"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/rate"
)

const (
	// Lifetime is how long a share lasts without contact with a coordinator. It
	// outlasts the outages of the platform's service that are usual.
	Lifetime = 10 * time.Second
	// StartLifetime is how long a restarted entry uses what the record grants it
	// before a coordinator has answered.
	StartLifetime = 5 * time.Second
	// startLevel is how full a restarted entry's buckets are: what its predecessor
	// used is not known, and an empty bucket refuses all for a moment.
	startLevel = 0.2
	// lifetimeMargin is how much earlier the holder stops than the coordinator
	// reckons: clocks run at nearly the same rate.
	lifetimeMargin = 500 * time.Millisecond
	// longestDry is how long the word of a coordinator that an account has nothing
	// left is taken for true.
	longestDry = 100 * time.Millisecond
	// usageHalfLife smooths the use that shares follow.
	usageHalfLife = 2 * time.Second
)

// Set is the shares of one entry by account.
type Set map[names.ClientAccount]float64

// Holder holds the shares of one entry and admits requests against them. It is
// safe for concurrent use.
type Holder struct {
	// mutex guards all below.
	mutex   sync.Mutex
	buckets map[names.ClientAccount]*bucket
	usage   map[names.ClientAccount]*rate.Meter
	// term and version name the set that is in force.
	term    int64
	version int64
	expires time.Time
	started bool
	// loans is what a coordinator lent and is not used, below zero what was used
	// ahead; heard is when the last message that it answered was sent.
	loans map[names.ClientAccount]float64
	heard time.Time
	// dry is until when an account has nothing left.
	dry map[names.ClientAccount]time.Time
}

// NewHolder returns a holder without shares.
func NewHolder() *Holder {
	return &Holder{
		buckets: map[names.ClientAccount]*bucket{}, usage: map[names.ClientAccount]*rate.Meter{},
		loans: map[names.ClientAccount]float64{}, dry: map[names.ClientAccount]time.Time{},
	}
}

// Take uses cost of an account's limits, from what was lent to this entry or,
// without a coordinator, from its share. Where that is not enough it returns
// false; [Holder.Lends] tells whether more can be borrowed.
func (holder *Holder) Take(account *policy.Account, cost float64, now time.Time) (time.Duration, bool) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	if account.Rate <= 0 {
		return 0, true
	}
	used, found := holder.usage[account.Name]
	if !found {
		used = rate.NewMeter(usageHalfLife)
		holder.usage[account.Name] = used
	}
	used.Add(cost, now)
	if holder.loans[account.Name] >= cost {
		holder.loans[account.Name] -= cost
		return 0, true
	}
	if holder.lends(now) {
		return 0, false
	}
	return holder.alone(account, cost, now)
}

// alone uses this entry's share. It is called with the mutex held.
func (holder *Holder) alone(account *policy.Account, cost float64, now time.Time) (time.Duration, bool) {
	held, found := holder.buckets[account.Name]
	if !found || !now.Before(holder.expires) {
		return time.Second, false
	}
	held.rate, held.burst = account.Rate, account.Burst
	held.refill(now)
	if debt := holder.loans[account.Name]; debt < 0 {
		held.level += debt
		holder.loans[account.Name] = 0
	}
	if most := held.burst * held.share; held.level < min(cost, most) {
		// A request above the burst of this share waits for a full bucket, and is
		// paid for afterwards.
		return held.wait(min(cost, most)), false
	}
	held.level -= cost
	return 0, true
}

// Bridge uses cost of an account's limits ahead, for when a coordinator that
// lends does not answer. What was used ahead is paid from the next loan, or from
// this entry's share. It returns false where that is too much.
func (holder *Holder) Bridge(account *policy.Account, cost float64, now time.Time) bool {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	held, found := holder.buckets[account.Name]
	if !found || !now.Before(holder.expires) {
		return false
	}
	if holder.loans[account.Name]-cost < -bridgeSpan.Seconds()*account.Rate*held.share {
		return false
	}
	holder.loans[account.Name] -= cost
	return true
}

// Lends tells whether a coordinator answers, from which more can be borrowed.
func (holder *Holder) Lends(now time.Time) bool {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	return holder.lends(now)
}

func (holder *Holder) lends(now time.Time) bool { return now.Sub(holder.heard) < aloneAfter }

// Dry returns how long nothing can be borrowed of an account, as a coordinator
// said, or zero.
func (holder *Holder) Dry(account names.ClientAccount, now time.Time) time.Duration {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	return max(holder.dry[account].Sub(now), 0)
}

// SetDry notes that nothing can be borrowed of an account for a while.
func (holder *Holder) SetDry(account names.ClientAccount, wait time.Duration, now time.Time) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	holder.dry[account] = now.Add(min(wait, longestDry))
}

// Return gives back what a request that did not run had taken.
func (holder *Holder) Return(account *policy.Account, cost float64) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	if account.Rate > 0 {
		holder.loans[account.Name] += cost
	}
}

// Start puts in force what the record grants to this instance, until a
// coordinator answers. Only the first call of a process has an effect, and only
// before [Holder.Apply].
func (holder *Holder) Start(recorded Set, limits *policy.Snapshot, now time.Time) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	if holder.started || limits == nil {
		return
	}
	holder.started = true
	holder.expires = now.Add(StartLifetime - lifetimeMargin)
	for _, account := range limits.Accounts() {
		part := recorded[account.Name]
		holder.buckets[account.Name] = &bucket{
			share: part, rate: account.Rate, burst: account.Burst, level: startLevel * part * account.Burst, at: now,
		}
	}
}

// Held returns what is in force, for the coordinator.
func (holder *Holder) Held(now time.Time) Held {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	held := Held{Term: holder.term, Version: holder.version, Shares: Set{}, Usage: Set{}, Loans: maps.Clone(holder.loans)}
	if now.Before(holder.expires) {
		for account, bucket := range holder.buckets {
			held.Shares[account] = bucket.share
		}
	}
	for account, used := range holder.usage {
		held.Usage[account] = used.PerSecond(now)
	}
	return held
}

// Held is what an entry tells the coordinator.
type Held struct {
	// Term and Version name the set that the entry applied last.
	Term    int64
	Version int64
	Shares  Set
	// Usage is what callers asked for of each account, in its unit a second.
	Usage Set
	// Loans are what is left of what was lent.
	Loans Set
}

// Apply takes over the set and the loans that a coordinator assigned in answer
// to a message sent at asked. Sets of former terms and versions are passed over.
// The coordinator holds the share while it lends, so its bucket starts empty.
func (holder *Holder) Apply(assigned Assigned, limits *policy.Snapshot, asked time.Time) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	if assigned.Term < holder.term || (assigned.Term == holder.term && assigned.Version < holder.version) {
		return
	}
	if asked.After(holder.heard) {
		holder.heard = asked
	}
	for account, loan := range assigned.Lent {
		holder.loans[account] += loan
	}
	holder.started = true
	holder.term, holder.version = assigned.Term, assigned.Version
	holder.expires = asked.Add(Lifetime - lifetimeMargin)
	for _, account := range limits.Accounts() {
		holder.buckets[account.Name] = &bucket{
			share: assigned.Shares[account.Name], rate: account.Rate, burst: account.Burst, at: asked.Add(silentAfter),
		}
	}
}
