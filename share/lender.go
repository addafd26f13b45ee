package share

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
)

const (
	// silentAfter is how long after an entry's last report the bank reckons that it
	// uses its share on its own; entries begin that later, after aloneAfter.
	silentAfter = 1000 * time.Millisecond
	aloneAfter  = 1600 * time.Millisecond
	// lendAhead is how much of an entry's use is lent ahead, so that it lasts until
	// the entry uses its share when the coordinator is lost.
	lendAhead = aloneAfter + 200*time.Millisecond
	// ampleLevel is the part of the burst above which tokens are lent ahead.
	ampleLevel = 0.1
	// firstLevel is how full the bank is when a coordinator begins: empty, it would
	// refuse all until entries have told what they hold.
	firstLevel = 0.05
	// partPeriod is far shorter than the time between silentAfter and aloneAfter.
	partPeriod = 50 * time.Millisecond
	// bridgeSpan is how much of its share an entry uses ahead while a coordinator
	// that lends does not answer, until it counts as lost.
	bridgeSpan = 200 * time.Millisecond
)

// Lender holds the limits of client accounts for one term of a coordinator, and
// lends from them to the entries that report to it. It holds the parts of all
// entries but those that may be using their shares on their own. It is not safe
// for concurrent use.
type Lender struct {
	divider *Divider
	buckets map[names.ClientAccount]*bucket
	lent    map[names.Instance]Amounts
	// totals is what is lent of each account over all entries.
	totals Amounts
	parts  map[names.ClientAccount]knownPart
	// exclusive tells that no other coordinator can have been elected.
	exclusive bool
}

// NewLender returns a bank for the entries of a divider.
func NewLender(divider *Divider) *Lender {
	return &Lender{divider: divider, buckets: map[names.ClientAccount]*bucket{}, lent: map[names.Instance]Amounts{}, totals: Amounts{}, parts: map[names.ClientAccount]knownPart{}, exclusive: true}
}

// SetExclusive tells whether this coordinator certainly is the only one.
func (lender *Lender) SetExclusive(exclusive bool) { lender.exclusive = exclusive }

// LendAhead takes in what an entry has left of its loans, and lends it ahead what it
// is expected to use until its next reports. The entry adds what is returned.
func (lender *Lender) LendAhead(instance names.Instance, state State, limits *policy.Snapshot, now time.Time) Amounts {
	for account, lent := range lender.lent[instance] {
		lender.totals[account] -= max(lent, 0)
	}
	lender.lent[instance] = Amounts{}
	added := Amounts{}
	for _, account := range limits.Accounts() {
		if account.Rate <= 0 {
			continue
		}
		left := state.Loans[account.Name]
		lender.lent[instance][account.Name] = left
		lender.totals[account.Name] += max(left, 0)
		bucket := lender.bucket(account, now)
		wanted := state.Usage[account.Name]*lendAhead.Seconds() - left
		ample := ampleLevel * account.Burst
		if wanted <= 0 || bucket.level <= ample {
			continue
		}
		granted := min(wanted, bucket.level-ample)
		bucket.level -= granted
		lender.lent[instance][account.Name] += granted
		lender.totals[account.Name] += max(left+granted, 0) - max(left, 0)
		added[account.Name] = granted
	}
	return added
}

// Lend lends cost of an account's limits. A request may use more than there is,
// so that large ones are served as often as small ones; the account is in debt
// until its rate has paid for it. Where nothing is left it returns how long until
// there is.
func (lender *Lender) Lend(account *policy.Account, cost float64, now time.Time) (time.Duration, bool) {
	bucket := lender.bucket(account, now)
	if bucket.level <= 0 {
		return bucket.wait(0), false
	}
	bucket.level -= cost
	return 0, true
}

// bucket returns an account's bucket at now, with the parts that the bank holds
// and a level that leaves room for what is lent.
func (lender *Lender) bucket(account *policy.Account, now time.Time) *bucket {
	held, found := lender.buckets[account.Name]
	part := lender.part(account.Name, now)
	if !found {
		// What the former coordinator lent just now is not known.
		held = &bucket{at: now, level: firstLevel * account.Burst * part}
		lender.buckets[account.Name] = held
	}
	held.rate, held.burst, held.share = account.Rate, account.Burst, part
	held.refill(now)
	held.level = min(held.level, account.Burst*part-lender.totals[account.Name])
	return held
}

// part is the part of an account's limits that no entry uses on its own, worked out
// anew each partPeriod: it goes over all entries.
func (lender *Lender) part(account names.ClientAccount, now time.Time) float64 {
	known, found := lender.parts[account]
	if !found || known.exclusive != lender.exclusive || now.Sub(known.at) >= partPeriod {
		known = knownPart{part: lender.divider.reporting(account, lender.exclusive, now), at: now, exclusive: lender.exclusive}
		lender.parts[account] = known
	}
	return known.part
}

// knownPart is a part as it was worked out at a time.
type knownPart struct {
	part      float64
	at        time.Time
	exclusive bool
}
