package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

const (
	// FlushPeriod is the time between two calls of [Balance.Flush].
	FlushPeriod = 500 * time.Millisecond
	// reportDelay is how long changes may wait, to be reported in one message
	// with others.
	reportDelay = 2 * time.Second
	// ampleBurstDivisor sets the part of the burst that the holders must still
	// have available for reports to be delayed.
	ampleBurstDivisor = 2
	// prefetchHorizon is the period of expected use for which an entry borrows
	// tokens in advance.
	prefetchHorizon = 2 * time.Second
	// smoothing is the weight of the last period in the moving averages of use.
	smoothing = 0.3
	// minPrefetchRequests is the number of expected requests in a prefetchHorizon
	// from which tokens are borrowed in advance.
	minPrefetchRequests = 2
	// idleTimeout is how long an unused balance is kept.
	idleTimeout = 2 * LoanLength

	// nearSeatDivisor sets the part of its capacity by which the near seat's
	// portion may be emptier than another's and still be asked first.
	nearSeatDivisor = 4

	// maxPauseFactor bounds, in multiples of MaxPause, the estimated time until
	// the tokens are available for which a pause is worthwhile. It exceeds 1
	// because tokens that other requests return arrive sooner than the rate alone
	// would supply them.
	maxPauseFactor = 4
	// noPauseAfterRefusal is the time after a refusal in which requests do not
	// pause.
	noPauseAfterRefusal = time.Second

	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 250 * time.Millisecond
	// failureRetryDelay is how long a seat is not asked again after an exchange
	// with it failed.
	failureRetryDelay = 2 * time.Second
)

// BalanceConfig configures a [Balance].
type BalanceConfig struct {
	Account names.ClientAccount
	// NearSeat is the preferred seat.
	NearSeat int
	// MaxPause is how long a request pauses, at most once, for tokens that will
	// soon be available; zero disables the pause.
	MaxPause time.Duration
	Switches Switches
}

// Balance is the tokens of one account that one entry has borrowed, over all
// seats. It is pure decision code and not safe for concurrent use.
type Balance struct {
	config       BalanceConfig
	credits      [Seats]*credit
	lastSequence int64
	// waiting is the sum of the tokens that requests at this entry wait for.
	waiting call.Tokens
	// limit is the account's limit at the last grant.
	limit Limit
	// running is the number of reservations that are not settled.
	running int

	used        call.Tokens
	requests    int64
	useRate     float64
	requestRate float64
	lastFlush   time.Time
	lastUse     time.Time
	// lastRefusal is when a request was last refused.
	lastRefusal time.Time
}

// NewBalance returns a balance without tokens.
func NewBalance(config BalanceConfig) *Balance {
	balance := &Balance{config: config}
	for seat := range balance.credits {
		balance.credits[seat] = newCredit()
	}
	return balance
}

// Spendable returns the number of tokens that may be spent at now.
func (balance *Balance) Spendable(now time.Time) call.Tokens {
	var held call.Tokens
	for _, credit := range balance.credits {
		held += credit.spendable(now)
	}
	return held
}

// Spend spends tokens if that many are spendable, and reports whether it did.
// It takes them from the near seat first.
func (balance *Balance) Spend(now time.Time, tokens call.Tokens) ([]Part, bool) {
	balance.lastUse = now
	if balance.Spendable(now) < tokens {
		return nil, false
	}
	parts := make([]Part, 0, 1)
	left := tokens
	for i := range Seats {
		seat := (balance.config.NearSeat + i) % Seats
		if credit := balance.credits[seat]; left > 0 && credit.spendable(now) > 0 {
			taken := credit.spend(now, seat, left)
			left -= taken.tokens
			parts = append(parts, taken)
		}
	}
	balance.used += tokens
	balance.requests++
	balance.running++
	return parts, true
}

// Settle ends a reservation and returns its unused tokens.
func (balance *Balance) Settle(now time.Time, parts []Part, unused call.Tokens) {
	balance.running--
	for _, part := range parts {
		back := min(unused, part.tokens)
		if back <= 0 {
			continue
		}
		unused -= back
		balance.used -= back
		balance.credits[part.seat].settle(now, part.cohort, back)
	}
}

// AddWaiting adds tokens, which may be negative, to the sum that requests wait
// for.
func (balance *Balance) AddWaiting(tokens call.Tokens) { balance.waiting += tokens }

// InFlight reports whether an exchange with seat is in progress.
func (balance *Balance) InFlight(seat int) bool { return balance.credits[seat].pendingSequence != 0 }

// Borrow starts an exchange with seat to borrow the tokens that requests wait
// for and that are not spendable yet.
func (balance *Balance) Borrow(now time.Time, seat int, partial bool) PendingAsk {
	need := max(0, balance.waiting-balance.Spendable(now))
	pendingAsk := balance.startAsk(now, seat)
	pendingAsk.Ask.Need = need
	pendingAsk.Ask.Partial = partial
	pendingAsk.Ask.Prefetch = balance.target()
	return pendingAsk
}

// NextSeat returns the seat to ask next for the tokens that requests wait for,
// and whether to accept a part of them there. ok is false if no seat is worth
// asking. Seats are asked for the whole need first. Parts are requested only
// when all seats together seem to have enough.
func (balance *Balance) NextSeat(now time.Time, askedSeats AskedSeats) (seat int, partial, ok bool) {
	for _, seat := range balance.seatsByEstimate(now) {
		if !askedSeats.whole[seat] && !now.Before(balance.credits[seat].retryAt) {
			return seat, false, true
		}
	}
	need := balance.waiting - balance.Spendable(now)
	if need <= 0 || balance.totalAvailable() < need {
		return 0, false, false
	}
	for i := range Seats {
		seat := (balance.config.NearSeat + i) % Seats
		credit := balance.credits[seat]
		if !askedSeats.part[seat] && credit.available > 0 {
			return seat, true, true
		}
	}
	return 0, false, false
}

// seatsByEstimate returns the seats in the order in which to ask them. A full
// portion is not refilled, so the seat with the highest estimate comes first;
// the near seat gets a bonus and is first unless it is much emptier.
func (balance *Balance) seatsByEstimate(now time.Time) [Seats]int {
	rate, capacity := balance.limit.portion()
	var seats [Seats]int
	var scores [Seats]float64
	for i := range Seats {
		seats[i] = (balance.config.NearSeat + i) % Seats
		scores[seats[i]] = balance.credits[seats[i]].estimate(now, rate, capacity)
	}
	scores[balance.config.NearSeat] += capacity / nearSeatDivisor
	slices.SortStableFunc(seats[:], func(one, other int) int { return cmp.Compare(scores[other], scores[one]) })
	return seats
}

// RetryAfter estimates the time until tokens can be reserved; zero means never.
func (balance *Balance) RetryAfter(now time.Time, tokens call.Tokens, limit Limit) time.Duration {
	if tokens > limit.largest() || limit.Rate <= 0 {
		return 0
	}
	short := max(1, tokens-balance.Spendable(now)-balance.totalAvailable())
	return max(time.Millisecond, time.Duration(float64(short)/float64(limit.Rate)*float64(time.Second)))
}

// Pause returns how long a request that would be refused should wait before it
// asks again, and whether it should wait at all. It should not if another
// request was refused recently: an account over its rate is then refused at
// once and causes no further messages.
func (balance *Balance) Pause(now time.Time, tokens call.Tokens, limit Limit) (time.Duration, bool) {
	wait := balance.RetryAfter(now, tokens, limit)
	if wait <= 0 || wait > maxPauseFactor*balance.config.MaxPause || now.Sub(balance.lastRefusal) < noPauseAfterRefusal {
		return 0, false
	}
	return balance.config.MaxPause, true
}

// NoteRefusal records that a request was refused at now.
func (balance *Balance) NoteRefusal(now time.Time) { balance.lastRefusal = now }

// totalAvailable returns the sum of what the seats last reported they could lend.
func (balance *Balance) totalAvailable() call.Tokens {
	var sum call.Tokens
	for _, credit := range balance.credits {
		sum += credit.available
	}
	return sum
}

// ApplyGrant applies the answer to an ask. It ignores late and duplicate
// answers.
func (balance *Balance) ApplyGrant(now time.Time, pendingAsk PendingAsk, grant Grant, limit Limit) {
	credit := balance.credits[pendingAsk.Seat]
	if credit.pendingSequence != pendingAsk.sequence {
		return
	}
	balance.limit = limit
	before := credit.spendable(now)
	credit.applyGrant(grant, balance.config.Switches, now)
	if gained := credit.spendable(now) - before; gained < pendingAsk.Ask.Need {
		credit.retryAt = now.Add(retryDelay(pendingAsk.Ask.Need-credit.available, limit))
	}
}

// NoteFailure records that an ask got no answer.
func (balance *Balance) NoteFailure(now time.Time, pendingAsk PendingAsk) {
	credit := balance.credits[pendingAsk.Seat]
	if credit.pendingSequence != pendingAsk.sequence {
		return
	}
	credit.fail(now)
	credit.available = 0
	credit.retryAt = now.Add(failureRetryDelay)
}

// Flush starts the exchanges that are due without a request waiting for them:
// reports, prefetches, and returns of tokens far beyond the target.
func (balance *Balance) Flush(now time.Time) []PendingAsk {
	balance.updateRates(now)
	target := balance.target()
	held := balance.Spendable(now)
	var pendingAsks []PendingAsk
	for _, seat := range balance.seatsByEstimate(now) {
		credit := balance.credits[seat]
		if credit.pendingSequence != 0 {
			continue
		}
		prefetch := call.Tokens(0)
		if !now.Before(credit.retryAt) {
			prefetch = max(0, target-held)
		}
		if !balance.due(now, credit, target, held, prefetch) {
			continue
		}
		held -= balance.returnTokens(now, credit, held-2*target)
		pendingAsk := balance.startAsk(now, seat)
		pendingAsk.Ask.Prefetch = prefetch
		held += prefetch
		pendingAsks = append(pendingAsks, pendingAsk)
	}
	return pendingAsks
}

// Drain starts the exchanges that return all spendable tokens.
func (balance *Balance) Drain(now time.Time) []PendingAsk {
	var pendingAsks []PendingAsk
	for seat, credit := range balance.credits {
		if credit.pendingSequence != 0 || credit.loan == 0 {
			continue
		}
		balance.returnTokens(now, credit, credit.spendable(now))
		pendingAsks = append(pendingAsks, balance.startAsk(now, seat))
	}
	return pendingAsks
}

// Idle reports whether the balance can be dropped without losing tokens.
func (balance *Balance) Idle(now time.Time) bool {
	for _, credit := range balance.credits {
		if credit.pendingSequence != 0 || !credit.unreportedSince.IsZero() {
			return false
		}
	}
	return balance.waiting == 0 && balance.running == 0 && now.Sub(balance.lastUse) > idleTimeout
}

// startAsk builds the report for seat and marks an exchange with it as in
// progress.
func (balance *Balance) startAsk(now time.Time, seat int) PendingAsk {
	balance.lastSequence++
	ask := balance.credits[seat].newAsk(now, balance.lastSequence, balance.config.Account)
	return PendingAsk{Seat: seat, Ask: ask, sequence: balance.lastSequence}
}

// due reports whether an exchange is worth a message now.
func (balance *Balance) due(now time.Time, credit *credit, target, held, prefetch call.Tokens) bool {
	if target > 0 && prefetch > target/2 {
		return true
	}
	if !credit.unreportedSince.IsZero() && now.Sub(credit.unreportedSince) >= balance.reportDelay() {
		return true
	}
	own := credit.spendable(now)
	if own == 0 {
		return false
	}
	if held > 2*target && now.Sub(balance.lastUse) >= balance.reportDelay() {
		return true
	}
	return credit.expires.Sub(now) < LoanLength/2
}

// reportDelay returns how long changes may wait to be reported. There is no
// delay while the account is near its limit, since other entries may then need
// the tokens that this one returns.
func (balance *Balance) reportDelay() time.Duration {
	if balance.totalAvailable() < balance.limit.Burst/ampleBurstDivisor {
		return 0
	}
	return reportDelay
}

// returnTokens marks up to tokens of the credit as returned and returns how many.
func (balance *Balance) returnTokens(now time.Time, credit *credit, tokens call.Tokens) call.Tokens {
	back := max(0, min(tokens, credit.spendable(now)))
	credit.returned += back
	return back
}

// target returns the number of tokens to hold in advance of need.
func (balance *Balance) target() call.Tokens {
	if balance.requestRate*prefetchHorizon.Seconds() < minPrefetchRequests {
		return 0
	}
	return call.Tokens(balance.useRate * prefetchHorizon.Seconds())
}

// updateRates updates the moving averages of the account's use at this entry.
func (balance *Balance) updateRates(now time.Time) {
	elapsed := now.Sub(balance.lastFlush).Seconds()
	if balance.lastFlush.IsZero() || elapsed <= 0 {
		elapsed = FlushPeriod.Seconds()
	}
	balance.lastFlush = now
	balance.useRate += smoothing * (max(0, float64(balance.used))/elapsed - balance.useRate)
	balance.requestRate += smoothing * (float64(balance.requests)/elapsed - balance.requestRate)
	balance.used, balance.requests = 0, 0
}

// retryDelay returns how long a seat's portion takes to be refilled by tokens,
// but at least minRetryDelay and at most maxRetryDelay.
func retryDelay(tokens call.Tokens, limit Limit) time.Duration {
	rate, _ := limit.portion()
	if rate <= 0 {
		return maxRetryDelay
	}
	return max(minRetryDelay, min(maxRetryDelay, time.Duration(float64(tokens)/rate*float64(time.Second))))
}
