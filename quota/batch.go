package quota

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// seatKey identifies one seat of one shard.
type seatKey struct {
	shard int
	seat  int
}

// batch is the asks of several accounts that are sent in one message.
type batch struct {
	asks        []Ask
	accounts    []*account
	pendingAsks []PendingAsk
}

// collect adds the asks of an account to the batches of their seats.
func collect(batches map[seatKey]*batch, account *account, pendingAsks []PendingAsk) {
	for _, pendingAsk := range pendingAsks {
		seatKey := seatKey{shard: account.shard, seat: pendingAsk.Seat}
		if batches[seatKey] == nil {
			batches[seatKey] = &batch{}
		}
		batches[seatKey].add(account, pendingAsk)
	}
}

func (batch *batch) add(account *account, pendingAsk PendingAsk) {
	batch.asks = append(batch.asks, pendingAsk.Ask)
	batch.accounts = append(batch.accounts, account)
	batch.pendingAsks = append(batch.pendingAsks, pendingAsk)
}

// deliver passes each account its grant from the answer, or the failure.
func (batch *batch) deliver(now time.Time, answer Answer, ok bool, limits Limits) {
	grants := make(map[names.ClientAccount]Grant, len(answer.Grants))
	for _, grant := range answer.Grants {
		grants[grant.Account] = grant
	}
	for i, account := range batch.accounts {
		limit, _ := limits.Limit(account.name)
		grant, granted := grants[account.name]
		account.finishAsk(now, batch.pendingAsks[i], grant, ok && granted, limit)
	}
}
