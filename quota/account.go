package quota

import (
	"sync"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// account is the balance of one client account with what its waiters need.
type account struct {
	name  names.ClientAccount
	shard int
	// mu guards what follows. It is taken after [Client.mu].
	mu      sync.Mutex
	balance *Balance
	// exchangeDone is closed when an exchange ends.
	exchangeDone chan struct{}
	// removed tells that the client has forgotten the account.
	removed bool
}

func newAccount(config BalanceConfig) *account {
	return &account{
		name:    config.Account,
		shard:   ShardOf(config.Account),
		balance: NewBalance(config),
		exchangeDone:  make(chan struct{}),
	}
}

// finishAsk takes in the end of a flight and wakes the requests that wait for it.
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
