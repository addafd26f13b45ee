package share

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
)

const (
	// reportTimeout is the time after an entry's last report from which the lender
	// assumes that the entry uses its share. The entry does so later, from
	// standaloneAfter, so that its share is never lent at the same time.
	reportTimeout   = 1000 * time.Millisecond
	standaloneAfter = 1600 * time.Millisecond
	// loanSpan is the time for which an entry's expected use is lent ahead. If the
	// coordinator is lost, the loan lasts until the entry uses its share.
	loanSpan = standaloneAfter + 200*time.Millisecond
	// reservedLevel is the part of the burst that is not lent ahead.
	reservedLevel = 0.1
	// initialLevel is how full the lender's buckets are when a term begins. Empty
	// buckets would refuse all requests until the entries have reported.
	initialLevel = 0.05
	// lendableRefresh is how long a lendable part is cached. It is far shorter than
	// the time between reportTimeout and standaloneAfter.
	lendableRefresh = 50 * time.Millisecond
	// overdraftSpan bounds what an entry uses in advance while the coordinator does not
	// answer and does not count as lost yet: what its share yields in this time.
	overdraftSpan = 200 * time.Millisecond
)

// Lender lends tokens of client accounts' limits to the entries that report to a
// coordinator, during one term. It lends the shares of all entries except those
// that may be using their shares without the coordinator. It is not safe for
// concurrent use.
type Lender struct {
	divider *Divider
	buckets map[names.ClientAccount]*bucket
	// lent holds each entry's unused loans; an overdraft is below zero.
	lent map[names.Instance]Amounts
	// totalLent holds the sum of the unused loans of each account.
	totalLent Amounts
	lendable  map[names.ClientAccount]cachedPart
	// exclusive is set while no other coordinator can have been elected.
	exclusive bool
}

// NewLender returns a lender for the entries of divider.
func NewLender(divider *Divider) *Lender {
	return &Lender{divider: divider, buckets: map[names.ClientAccount]*bucket{}, lent: map[names.Instance]Amounts{}, totalLent: Amounts{}, lendable: map[names.ClientAccount]cachedPart{}, exclusive: true}
}

// SetExclusive sets whether no other coordinator can have been elected.
func (lender *Lender) SetExclusive(exclusive bool) { lender.exclusive = exclusive }

// LendAhead records what an entry has left of its loans, and returns the further
// tokens that it lends for the entry's expected use until its next reports.
func (lender *Lender) LendAhead(instance names.Instance, state State, limits *policy.Snapshot, now time.Time) Amounts {
	entry, found := lender.lent[instance]
	if !found {
		entry = Amounts{}
		lender.lent[instance] = entry
	}
	for account, lent := range entry {
		lender.totalLent[account] -= max(lent, 0)
	}
	clear(entry)
	added := Amounts{}
	for _, account := range limits.Accounts() {
		if account.Rate <= 0 {
			continue
		}
		left := state.Loans[account.Name]
		entry[account.Name] = left
		lender.totalLent[account.Name] += max(left, 0)
		bucket := lender.bucket(account, now)
		wanted := state.Usage[account.Name]*loanSpan.Seconds() - left
		reserved := reservedLevel * account.Burst
		if wanted <= 0 || bucket.level <= reserved {
			continue
		}
		granted := min(wanted, bucket.level-reserved)
		bucket.level -= granted
		entry[account.Name] = left + granted
		lender.totalLent[account.Name] += max(left+granted, 0) - max(left, 0)
		added[account.Name] = granted
	}
	return added
}

// Lend lends cost tokens of an account's limits. A request may cost more than is
// left, so that large requests are served as often as small ones; the level is
// then negative until the rate has refilled it. If nothing is left, Lend returns
// how long until there is.
func (lender *Lender) Lend(account *policy.Account, cost float64, now time.Time) (time.Duration, bool) {
	bucket := lender.bucket(account, now)
	if bucket.level <= 0 {
		return bucket.waitFor(0), false
	}
	bucket.level -= cost
	return 0, true
}

// bucket returns an account's bucket, refilled up to now. Its share is the
// lendable part, and its level leaves room for the unused loans.
func (lender *Lender) bucket(account *policy.Account, now time.Time) *bucket {
	current, found := lender.buckets[account.Name]
	part := lender.cachedLendablePart(account.Name, now)
	if !found {
		// The recent loans of the previous coordinator are not known.
		current = &bucket{at: now, level: initialLevel * account.Burst * part}
		lender.buckets[account.Name] = current
	}
	current.rate, current.burst, current.share = account.Rate, account.Burst, part
	current.refill(now)
	current.level = min(current.level, account.Burst*part-lender.totalLent[account.Name])
	return current
}

// cachedLendablePart returns the divider's lendablePart from a cache that is
// refreshed each lendableRefresh, as the computation visits all entries.
func (lender *Lender) cachedLendablePart(account names.ClientAccount, now time.Time) float64 {
	cached, found := lender.lendable[account]
	if !found || cached.exclusive != lender.exclusive || now.Sub(cached.at) >= lendableRefresh {
		cached = cachedPart{part: lender.divider.lendablePart(account, lender.exclusive, now), at: now, exclusive: lender.exclusive}
		lender.lendable[account] = cached
	}
	return cached.part
}

// cachedPart is a lendable part as computed at a time.
type cachedPart struct {
	part      float64
	at        time.Time
	exclusive bool
}
