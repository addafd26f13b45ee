package quota

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/names"
)

const (
	defaultExchangeTimeout = 250 * time.Millisecond
	// flushWorkers bounds the concurrent exchanges of a flush.
	flushWorkers = 8
	// maxWaits bounds how often a request waits for exchanges of other requests.
	maxWaits = 4 * Seats
	// unreachableRetry is the RetryAfter of a refusal when no holder answered.
	unreachableRetry = time.Second
)

// ClientConfig configures a [Client].
type ClientConfig struct {
	Self      Peer
	Peers     Peers
	Transport Transport
	// Keeper handles exchanges with seats of this instance locally; it may be nil.
	Keeper *Keeper
	Limits Limits
	Clock  *clock.Service
	// Metrics may be nil.
	Metrics metrics.Registry
	// MaxPause is how long a request that would be refused pauses, at most once,
	// for tokens that will soon be available; zero disables the pause.
	MaxPause time.Duration
	// ExchangeTimeout bounds one exchange with a holder, including a redirect;
	// zero means the default.
	ExchangeTimeout time.Duration
}

// Client reserves tokens of client accounts for the requests of one entry. Its
// methods are safe for concurrent use.
type Client struct {
	config    ClientConfig
	holders   *holderCache
	reserved  metrics.Counter
	refused   metrics.Counter
	exchanges metrics.Counter
	// mu guards accounts and closed.
	mu       sync.RWMutex
	accounts map[names.ClientAccount]*account
	closed   bool
}

// NewClient returns a client. [Client.Start] starts its periodic reports and
// prefetches.
func NewClient(config ClientConfig) *Client {
	registry := config.Metrics
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	if config.ExchangeTimeout == 0 {
		config.ExchangeTimeout = defaultExchangeTimeout
	}
	return &Client{
		config:    config,
		holders:   newHolderCache(newCandidateCache(config.Peers, config.Clock)),
		reserved:  metrics.GetOrRegisterCounter("quota.reserved", registry),
		refused:   metrics.GetOrRegisterCounter("quota.refused", registry),
		exchanges: metrics.GetOrRegisterCounter("quota.exchanges", registry),
		accounts:  map[names.ClientAccount]*account{},
	}
}

// Start calls [Client.Flush] periodically until ctx ends.
func (client *Client) Start(ctx context.Context) {
	client.config.Clock.Subscribe(ctx, FlushPeriod, func(ctx context.Context, now time.Time) {
		client.Flush(ctx, now)
	})
}

// Reserve reserves tokens of the account's rate and burst. Its error is a
// *[call.Refusal], which says when to retry if that can help, or the error of
// ctx.
func (client *Client) Reserve(ctx context.Context, name names.ClientAccount, tokens call.Tokens) (*Reservation, error) {
	if tokens <= 0 {
		return &Reservation{client: client}, nil
	}
	account, err := client.lockedAccount(name)
	if err != nil {
		return nil, err
	}
	defer account.mu.Unlock()
	parts, ok := account.balance.Spend(client.config.Clock.Now(), tokens)
	if !ok {
		if parts, err = client.borrow(ctx, account, tokens); err != nil {
			client.refused.Inc(1)
			return nil, err
		}
	}
	client.reserved.Inc(int64(tokens))
	return &Reservation{client: client, account: account, parts: parts, tokens: tokens}, nil
}

// Flush runs the exchanges that are due without a request waiting for them, and
// drops the state of idle accounts.
func (client *Client) Flush(ctx context.Context, now time.Time) {
	batches := map[seatKey]*batch{}
	client.mu.Lock()
	for name, account := range client.accounts {
		account.mu.Lock()
		if account.balance.Idle(now) {
			account.removed = true
			delete(client.accounts, name)
		} else {
			collect(batches, account, account.balance.Flush(now))
		}
		account.mu.Unlock()
	}
	client.mu.Unlock()
	client.send(ctx, batches)
}

// Close returns all borrowed tokens that are not spent. Later reservations are
// refused.
func (client *Client) Close(ctx context.Context) error {
	batches := map[seatKey]*batch{}
	client.mu.Lock()
	client.closed = true
	now := client.config.Clock.Now()
	for _, account := range client.accounts {
		account.mu.Lock()
		collect(batches, account, account.balance.Drain(now))
		account.mu.Unlock()
	}
	client.mu.Unlock()
	client.send(ctx, batches)
	return ctx.Err()
}

// Accounts returns the number of accounts that the client has state for.
func (client *Client) Accounts() int {
	client.mu.RLock()
	defer client.mu.RUnlock()
	return len(client.accounts)
}

// lockedAccount returns the state of an account, locked and not removed.
func (client *Client) lockedAccount(name names.ClientAccount) (*account, error) {
	for {
		account, err := client.account(name)
		if err != nil {
			return nil, err
		}
		account.mu.Lock()
		if !account.removed {
			return account, nil
		}
		account.mu.Unlock()
	}
}

// account returns the state of an account, which may be removed before the
// caller locks it.
func (client *Client) account(name names.ClientAccount) (*account, error) {
	client.mu.RLock()
	known, ok := client.accounts[name]
	closed := client.closed
	client.mu.RUnlock()
	if closed {
		return nil, &call.Refusal{Code: call.CodeDraining, Message: "the instance is stopping", Outcome: call.NotRun{}, RetryAfter: time.Millisecond}
	}
	if ok {
		return known, nil
	}
	if _, configured := client.config.Limits.Limit(name); !configured {
		return nil, &call.Refusal{Code: call.CodeUnauthorized, Message: "the client account is not known", Outcome: call.NotRun{}}
	}
	near := client.holders.nearSeat(name, client.config.Self.Domain)
	client.mu.Lock()
	defer client.mu.Unlock()
	if known, ok = client.accounts[name]; ok {
		return known, nil
	}
	opened := newAccount(BalanceConfig{Account: name, NearSeat: near, MaxPause: client.config.MaxPause})
	client.accounts[name] = opened
	return opened, nil
}

// borrow exchanges with seats' holders until tokens can be spent, or returns a
// refusal. The account's lock is held on entry and on return, and released
// during exchanges and waits.
func (client *Client) borrow(ctx context.Context, account *account, tokens call.Tokens) ([]Part, error) {
	balance := account.balance
	balance.AddWaiting(tokens)
	defer balance.AddWaiting(-tokens)
	limit, _ := client.config.Limits.Limit(account.name)
	if tokens > limit.largest() {
		return nil, overLimit(0)
	}
	var askedSeats AskedSeats
	paused := false
	for waits := 0; ; {
		now := client.config.Clock.Now()
		if parts, ok := balance.Spend(now, tokens); ok {
			return parts, nil
		}
		seat, partial, ok := balance.NextSeat(now, askedSeats)
		if !ok && !paused {
			paused = true
			if pause, worth := balance.Pause(now, tokens, limit); worth {
				if err := waitUnlocked(ctx, account, client.config.Clock.After(pause)); err != nil {
					return nil, err
				}
				askedSeats = AskedSeats{}
				continue
			}
		}
		if !ok {
			balance.NoteRefusal(now)
			return nil, client.refusal(balance, now, tokens, limit, askedSeats)
		}
		if balance.InFlight(seat) && waits < maxWaits {
			waits++
			if err := waitUnlocked(ctx, account, account.exchangeDone); err != nil {
				return nil, err
			}
			continue
		}
		askedSeats.Add(seat, partial)
		if balance.InFlight(seat) {
			continue
		}
		pendingAsk := balance.Borrow(now, seat, partial)
		account.mu.Unlock()
		answered := client.sendAsk(ctx, account, pendingAsk, limit)
		account.mu.Lock()
		askedSeats.Finish(answered)
	}
}

// sendAsk runs one exchange for one account and reports whether it was answered.
func (client *Client) sendAsk(ctx context.Context, account *account, pendingAsk PendingAsk, limit Limit) bool {
	answer, ok := client.exchange(ctx, account.shard, pendingAsk.Seat, []Ask{pendingAsk.Ask})
	ok = ok && len(answer.Grants) == 1
	var grant Grant
	if ok {
		grant = answer.Grants[0]
	}
	account.finishAsk(client.config.Clock.Now(), pendingAsk, grant, ok, limit)
	return ok
}

// exchange sends asks to the seat's holder. If that instance names another
// holder, it sends them once more, to that one.
func (client *Client) exchange(ctx context.Context, shard, seat int, asks []Ask) (Answer, bool) {
	ctx, cancel := context.WithTimeout(ctx, client.config.ExchangeTimeout)
	defer cancel()
	message := Exchange{Borrower: client.config.Self.Instance, Shard: shard, Seat: seat, Asks: asks}
	for range 2 {
		holder, ok := client.holders.lookup(shard, seat)
		if !ok {
			return Answer{}, false
		}
		client.exchanges.Inc(1)
		answer, err := client.sendTo(ctx, holder, message)
		if err != nil {
			client.holders.forget(shard, seat)
			return Answer{}, false
		}
		if answer.Held {
			return answer, true
		}
		if !client.holders.redirect(shard, seat, holder, answer) {
			return Answer{}, false
		}
	}
	return Answer{}, false
}

func (client *Client) sendTo(ctx context.Context, holder Peer, message Exchange) (Answer, error) {
	if client.config.Keeper != nil && holder.Instance == client.config.Self.Instance {
		return client.config.Keeper.Exchange(message), nil
	}
	return client.config.Transport.Exchange(ctx, holder.Address, message)
}

func (client *Client) send(ctx context.Context, batches map[seatKey]*batch) {
	var workers errgroup.Group
	workers.SetLimit(flushWorkers)
	for seatKey, batch := range batches {
		workers.Go(func() error {
			answer, ok := client.exchange(ctx, seatKey.shard, seatKey.seat, batch.asks)
			batch.deliver(client.config.Clock.Now(), answer, ok, client.config.Limits)
			return nil
		})
	}
	_ = workers.Wait()
}

func (client *Client) refusal(balance *Balance, now time.Time, tokens call.Tokens, limit Limit, askedSeats AskedSeats) error {
	if askedSeats.allFailed() {
		return &call.Refusal{
			Code:       call.CodeUnavailable,
			Message:    "no instance that counts the account's rate can be reached",
			Outcome:    call.NotRun{},
			RetryAfter: unreachableRetry,
		}
	}
	return overLimit(balance.RetryAfter(now, tokens, limit))
}

func overLimit(retryAfter time.Duration) error {
	return &call.Refusal{
		Code:       call.CodeRateLimited,
		Message:    "the client account is over its rate and burst",
		Outcome:    call.NotRun{},
		RetryAfter: retryAfter,
	}
}

// waitUnlocked releases the account's lock until wake is ready or ctx ends.
func waitUnlocked[T any](ctx context.Context, account *account, wake <-chan T) error {
	account.mu.Unlock()
	defer account.mu.Lock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-wake:
		return nil
	}
}
