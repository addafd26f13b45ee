package quota

import (
	"sync"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// account is the state that a [Client] keeps of one client account: its balance
// and the means to wake requests that wait for an exchange.
type account struct {
	name  names.ClientAccount
	shard int
	// mu guards the fields below. It is acquired after [Client.mu].
	mu      sync.Mutex
	balance *Balance
	// exchangeDone is closed and replaced when an exchange ends.
	exchangeDone chan struct{}
	// removed reports whether the client has dropped this state.
	removed bool
}

func newAccount(config BalanceConfig) *account {
	return &account{
		name:         config.Account,
		shard:        ShardOf(config.Account),
		balance:      NewBalance(config),
		exchangeDone: make(chan struct{}),
	}
}

// finishAsk applies the result of an exchange to the balance and wakes the
// requests that wait for it.
func (account *account) finishAsk(now time.Time, pendingAsk PendingAsk, grant Grant, ok bool, limit Limit) {
	account.mu.Lock()
	defer account.mu.Unlock()
	if ok {
		account.balance.ApplyGrant(now, pendingAsk, grant, limit)
	} else {
		account.balance.NoteFailure(now, pendingAsk)
	}
	close(account.exchangeDone)
	account.exchangeDone = make(chan struct{})
}

func (account *account) settle(now time.Time, parts []Part, unused call.Tokens) {
	account.mu.Lock()
	defer account.mu.Unlock()
	account.balance.Settle(now, parts, unused)
}
