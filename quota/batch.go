package quota

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// place is one seat of one shard.
type place struct {
	shard int
	seat  int
}

// batch is the exchanges of several accounts that travel in one message.
type batch struct {
	asks     []Ask
	accounts []*account
	flights  []PendingAsk
}

// collect adds an account's flights to the batches.
func collect(batches map[place]*batch, account *account, flights []PendingAsk) {
	for _, pendingAsk := range flights {
		place := place{shard: account.shard, seat: pendingAsk.Seat}
		if batches[place] == nil {
			batches[place] = &batch{}
		}
		batches[place].add(account, pendingAsk)
	}
}

func (batch *batch) add(account *account, pendingAsk PendingAsk) {
	batch.asks = append(batch.asks, pendingAsk.Ask)
	batch.accounts = append(batch.accounts, account)
	batch.flights = append(batch.flights, pendingAsk)
}

// land gives each account its part of the answer.
func (batch *batch) land(now time.Time, answer Answer, ok bool, limits Limits) {
	grants := make(map[names.ClientAccount]Grant, len(answer.Grants))
	for _, grant := range answer.Grants {
		grants[grant.Account] = grant
	}
	for i, account := range batch.accounts {
		limit, _ := limits.Limit(account.name)
		grant, granted := grants[account.name]
		account.land(now, batch.flights[i], grant, ok && granted, limit)
	}
}
