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
	// Lifetime is how long a share lasts without contact with a coordinator. It is
	// longer than the usual outages of the platform's key-value service.
	Lifetime = 10 * time.Second
	// StartLifetime is how long a restarted entry uses its recorded shares while no
	// coordinator has answered.
	StartLifetime = 5 * time.Second
	// startLevel is how full a restarted entry's buckets are: the use of the process
	// before it is not known, and empty buckets would refuse all requests at first.
	startLevel = 0.2
	// expiryMargin is how much earlier a share expires at the entry than at the
	// coordinator. It covers the difference in rate between their clocks.
	expiryMargin = 500 * time.Millisecond
	// maxExhaustion bounds how long an entry relies on a coordinator's answer that an
	// account has nothing left.
	maxExhaustion = 100 * time.Millisecond
	// usageHalfLife smooths the measured use, from which shares are computed.
	usageHalfLife = 2 * time.Second
)

// Amounts maps accounts to one entry's shares, usage or loans.
type Amounts map[names.ClientAccount]float64

// Limiter admits the requests of one entry against its loans, or its shares while
// no coordinator answers. It is safe for concurrent use.
type Limiter struct {
	// mutex guards all below.
	mutex   sync.Mutex
	buckets map[names.ClientAccount]*bucket
	usage   map[names.ClientAccount]*rate.Meter
	// term and version identify the assignment that is in force.
	term    int64
	version int64
	expires time.Time
	started bool
	// loans holds the unused loans; a negative value is what was used in advance.
	loans map[names.ClientAccount]float64
	// answered is when the last report that a coordinator answered was sent.
	answered time.Time
	// exhaustedUntil is until when an account has nothing left to borrow.
	exhaustedUntil map[names.ClientAccount]time.Time
}

// NewLimiter returns a limiter without shares.
func NewLimiter() *Limiter {
	return &Limiter{
		buckets: map[names.ClientAccount]*bucket{}, usage: map[names.ClientAccount]*rate.Meter{},
		loans: map[names.ClientAccount]float64{}, exhaustedUntil: map[names.ClientAccount]time.Time{},
	}
}

// Take uses cost of an account's limits, from the loans of this entry or, without
// a coordinator, from its share. It reports whether there was enough; if not, it
// returns how long to wait, or zero where [Limiter.CanBorrow] reports that more
// can be borrowed.
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
	if limiter.canBorrow(now) {
		return 0, false
	}
	return limiter.takeFromShare(account, cost, now)
}

// takeFromShare uses cost of this entry's share. It is called with the mutex held.
func (limiter *Limiter) takeFromShare(account *policy.Account, cost float64, now time.Time) (time.Duration, bool) {
	bucket, found := limiter.buckets[account.Name]
	if !found || bucket.share <= 0 || !now.Before(limiter.expires) {
		return time.Second, false
	}
	bucket.rate, bucket.burst = account.Rate, account.Burst
	bucket.refill(now)
	if debt := limiter.loans[account.Name]; debt < 0 {
		bucket.level += debt
		limiter.loans[account.Name] = 0
	}
	if capacity := bucket.burst * bucket.share; bucket.level < min(cost, capacity) {
		// A request that costs more than the burst of this share waits for a full
		// bucket and leaves a negative level.
		return bucket.waitFor(min(cost, capacity)), false
	}
	bucket.level -= cost
	return 0, true
}

// Overdraw uses cost of an account's limits in advance, when the coordinator fails
// to answer a request to borrow. The next loan, or this entry's share, is reduced
// by it. Overdraw reports whether that stays within overdraftSpan of the share.
func (limiter *Limiter) Overdraw(account *policy.Account, cost float64, now time.Time) bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	bucket, found := limiter.buckets[account.Name]
	if !found || !now.Before(limiter.expires) {
		return false
	}
	if limiter.loans[account.Name]-cost < -overdraftSpan.Seconds()*account.Rate*bucket.share {
		return false
	}
	limiter.loans[account.Name] -= cost
	return true
}

// CanBorrow reports whether a coordinator answers, from which more can be borrowed.
func (limiter *Limiter) CanBorrow(now time.Time) bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return limiter.canBorrow(now)
}

func (limiter *Limiter) canBorrow(now time.Time) bool {
	return now.Sub(limiter.answered) < standaloneAfter
}

// ExhaustedFor returns how long nothing can be borrowed of an account according to
// the coordinator's last answer, or zero.
func (limiter *Limiter) ExhaustedFor(account names.ClientAccount, now time.Time) time.Duration {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return max(limiter.exhaustedUntil[account].Sub(now), 0)
}

// SetExhausted records that nothing can be borrowed of an account for wait, or for
// maxExhaustion if that is shorter.
func (limiter *Limiter) SetExhausted(account names.ClientAccount, wait time.Duration, now time.Time) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.exhaustedUntil[account] = now.Add(min(wait, maxExhaustion))
}

// Refund adds the cost of a request that did not run to the unused loans.
func (limiter *Limiter) Refund(account *policy.Account, cost float64) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if account.Rate > 0 {
		limiter.loans[account.Name] += cost
	}
}

// Restore applies the recorded shares of this instance until a coordinator
// answers, unless the record marks them as ending. Only the first call with limits and
// such shares has an effect, and only before [Limiter.Apply].
func (limiter *Limiter) Restore(recorded Holder, limits *policy.Snapshot, now time.Time) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if limiter.started || limits == nil || recorded.Ending {
		return
	}
	limiter.started = true
	limiter.expires = now.Add(StartLifetime - expiryMargin)
	for _, account := range limits.Accounts() {
		part := recorded.Shares[account.Name]
		limiter.buckets[account.Name] = &bucket{
			share: part, rate: account.Rate, burst: account.Burst, level: startLevel * part * account.Burst, at: now,
		}
	}
}

// State returns the state to report to the coordinator.
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

// State is what an entry reports to the coordinator.
type State struct {
	// Term and Version identify the assignment that the entry applied last.
	Term    int64
	Version int64
	Shares  Amounts
	// Usage is the demand on each account, in its unit per second.
	Usage Amounts
	// Loans are the unused loans; an overdraft is below zero.
	Loans Amounts
}

// Apply applies the shares and loans that a coordinator assigned in answer to a
// report sent at asked. Assignments of earlier terms and versions are ignored. The
// coordinator lends the share until reportTimeout after asked, so the bucket is
// empty until then and refills from that time.
func (limiter *Limiter) Apply(assignment Assignment, limits *policy.Snapshot, asked time.Time) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if assignment.Term < limiter.term || (assignment.Term == limiter.term && assignment.Version < limiter.version) {
		return
	}
	if asked.After(limiter.answered) {
		limiter.answered = asked
	}
	for account, loan := range assignment.Lent {
		limiter.loans[account] += loan
	}
	limiter.started = true
	limiter.term, limiter.version = assignment.Term, assignment.Version
	limiter.expires = asked.Add(Lifetime - expiryMargin)
	for _, account := range limits.Accounts() {
		limiter.buckets[account.Name] = &bucket{
			share: assignment.Shares[account.Name], rate: account.Rate, burst: account.Burst, at: asked.Add(reportTimeout),
		}
	}
}
