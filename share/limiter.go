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

// Amounts is the shares of one entry by account.
type Amounts map[names.ClientAccount]float64

// Limiter holds the shares of one entry and admits requests against them. It is
// safe for concurrent use.
type Limiter struct {
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

// NewLimiter returns a holder without shares.
func NewLimiter() *Limiter {
	return &Limiter{
		buckets: map[names.ClientAccount]*bucket{}, usage: map[names.ClientAccount]*rate.Meter{},
		loans: map[names.ClientAccount]float64{}, dry: map[names.ClientAccount]time.Time{},
	}
}

// Take uses cost of an account's limits, from what was lent to this entry or,
// without a coordinator, from its share. Where that is not enough it returns
// false; [Limiter.CanBorrow] tells whether more can be borrowed.
func (limiter *Limiter) Take(account *policy.Account, cost float64, now time.Time) (time.Duration, bool) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if account.Rate <= 0 {
		return 0, true
	}
	used, found := limiter.usage[account.Name]
	if !found {
		used = rate.NewMeter(usageHalfLife)
		limiter.usage[account.Name] = used
	}
	used.Add(cost, now)
	if limiter.loans[account.Name] >= cost {
		limiter.loans[account.Name] -= cost
		return 0, true
	}
	if limiter.lends(now) {
		return 0, false
	}
	return limiter.alone(account, cost, now)
}

// alone uses this entry's share. It is called with the mutex held.
func (limiter *Limiter) alone(account *policy.Account, cost float64, now time.Time) (time.Duration, bool) {
	held, found := limiter.buckets[account.Name]
	if !found || !now.Before(limiter.expires) {
		return time.Second, false
	}
	held.rate, held.burst = account.Rate, account.Burst
	held.refill(now)
	if debt := limiter.loans[account.Name]; debt < 0 {
		held.level += debt
		limiter.loans[account.Name] = 0
	}
	if most := held.burst * held.share; held.level < min(cost, most) {
		// A request above the burst of this share waits for a full bucket, and is
		// paid for afterwards.
		return held.wait(min(cost, most)), false
	}
	held.level -= cost
	return 0, true
}

// Overdraw uses cost of an account's limits ahead, for when a coordinator that
// lends does not answer. What was used ahead is paid from the next loan, or from
// this entry's share. It returns false where that is too much.
func (limiter *Limiter) Overdraw(account *policy.Account, cost float64, now time.Time) bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	held, found := limiter.buckets[account.Name]
	if !found || !now.Before(limiter.expires) {
		return false
	}
	if limiter.loans[account.Name]-cost < -bridgeSpan.Seconds()*account.Rate*held.share {
		return false
	}
	limiter.loans[account.Name] -= cost
	return true
}

// CanBorrow tells whether a coordinator answers, from which more can be borrowed.
func (limiter *Limiter) CanBorrow(now time.Time) bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return limiter.lends(now)
}

func (limiter *Limiter) lends(now time.Time) bool { return now.Sub(limiter.heard) < aloneAfter }

// ExhaustedFor returns how long nothing can be borrowed of an account, as a coordinator
// said, or zero.
func (limiter *Limiter) ExhaustedFor(account names.ClientAccount, now time.Time) time.Duration {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return max(limiter.dry[account].Sub(now), 0)
}

// SetExhausted notes that nothing can be borrowed of an account for a while.
func (limiter *Limiter) SetExhausted(account names.ClientAccount, wait time.Duration, now time.Time) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.dry[account] = now.Add(min(wait, longestDry))
}

// Refund gives back what a request that did not run had taken.
func (limiter *Limiter) Refund(account *policy.Account, cost float64) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if account.Rate > 0 {
		limiter.loans[account.Name] += cost
	}
}

// Restore puts in force what the record grants to this instance, until a
// coordinator answers. Only the first call of a process has an effect, and only
// before [Limiter.Apply].
func (limiter *Limiter) Restore(recorded Amounts, limits *policy.Snapshot, now time.Time) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if limiter.started || limits == nil {
		return
	}
	limiter.started = true
	limiter.expires = now.Add(StartLifetime - lifetimeMargin)
	for _, account := range limits.Accounts() {
		part := recorded[account.Name]
		limiter.buckets[account.Name] = &bucket{
			share: part, rate: account.Rate, burst: account.Burst, level: startLevel * part * account.Burst, at: now,
		}
	}
}

// State returns what is in force, for the coordinator.
func (limiter *Limiter) State(now time.Time) State {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	state := State{Term: limiter.term, Version: limiter.version, Shares: Amounts{}, Usage: Amounts{}, Loans: maps.Clone(limiter.loans)}
	if now.Before(limiter.expires) {
		for account, bucket := range limiter.buckets {
			state.Shares[account] = bucket.share
		}
	}
	for account, used := range limiter.usage {
		state.Usage[account] = used.PerSecond(now)
	}
	return state
}

// State is what an entry tells the coordinator.
type State struct {
	// Term and Version name the set that the entry applied last.
	Term    int64
	Version int64
	Shares  Amounts
	// Usage is what callers asked for of each account, in its unit a second.
	Usage Amounts
	// Loans are what is left of what was lent.
	Loans Amounts
}

// Apply takes over the set and the loans that a coordinator assigned in answer
// to a message sent at asked. Sets of former terms and versions are passed over.
// The coordinator holds the share while it lends, so its bucket starts empty.
func (limiter *Limiter) Apply(assignment Assignment, limits *policy.Snapshot, asked time.Time) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if assignment.Term < limiter.term || (assignment.Term == limiter.term && assignment.Version < limiter.version) {
		return
	}
	if asked.After(limiter.heard) {
		limiter.heard = asked
	}
	for account, loan := range assignment.Lent {
		limiter.loans[account] += loan
	}
	limiter.started = true
	limiter.term, limiter.version = assignment.Term, assignment.Version
	limiter.expires = asked.Add(Lifetime - lifetimeMargin)
	for _, account := range limits.Accounts() {
		limiter.buckets[account.Name] = &bucket{
			share: assignment.Shares[account.Name], rate: account.Rate, burst: account.Burst, at: asked.Add(silentAfter),
		}
	}
}
