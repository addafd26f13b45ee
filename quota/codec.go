package quota

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/store"
	"github.com/basilkeel/basilkeel/wire"
)

func encodeExchange(exchange Exchange) *wire.QuotaExchangeRequest {
	request := &wire.QuotaExchangeRequest{
		Borrower: string(exchange.Borrower),
		Shard:    uint32(exchange.Shard),
		Seat:     uint32(exchange.Seat),
		Asks:     make([]*wire.QuotaAsk, 0, len(exchange.Asks)),
	}
	for _, ask := range exchange.Asks {
		request.Asks = append(request.Asks, encodeAsk(ask))
	}
	return request
}

func encodeAsk(ask Ask) *wire.QuotaAsk {
	encoded := &wire.QuotaAsk{
		Account:  string(ask.Account),
		Epoch:    ask.Epoch,
		Loan:     ask.Loan,
		Spent:    int64(ask.Spent),
		Returned: int64(ask.Returned),
		Need:     int64(ask.Need),
		Prefetch: int64(ask.Prefetch),
		Partial:  ask.Partial,
		Batch:    ask.Batch,
	}
	for _, refund := range ask.Refunds {
		encoded.Refunds = append(encoded.Refunds, &wire.QuotaRefund{Stamp: refund.Stamp, Tokens: int64(refund.Tokens)})
	}
	return encoded
}

func decodeExchange(request *wire.QuotaExchangeRequest) Exchange {
	exchange := Exchange{
		Borrower: names.Instance(request.GetBorrower()),
		Shard:    int(request.GetShard()),
		Seat:     int(request.GetSeat()),
		Asks:     make([]Ask, 0, len(request.GetAsks())),
	}
	for _, ask := range request.GetAsks() {
		exchange.Asks = append(exchange.Asks, decodeAsk(ask))
	}
	return exchange
}

func decodeAsk(encoded *wire.QuotaAsk) Ask {
	ask := Ask{
		Account:  names.ClientAccount(encoded.GetAccount()),
		Epoch:    encoded.GetEpoch(),
		Loan:     encoded.GetLoan(),
		Spent:    call.Tokens(encoded.GetSpent()),
		Returned: call.Tokens(encoded.GetReturned()),
		Need:     call.Tokens(encoded.GetNeed()),
		Prefetch: call.Tokens(encoded.GetPrefetch()),
		Partial:  encoded.GetPartial(),
		Batch:    encoded.GetBatch(),
	}
	for _, refund := range encoded.GetRefunds() {
		ask.Refunds = append(ask.Refunds, Refund{Stamp: refund.GetStamp(), Tokens: call.Tokens(refund.GetTokens())})
	}
	return ask
}

func encodeAnswer(answer Answer) *wire.QuotaExchangeReply {
	reply := &wire.QuotaExchangeReply{Held: answer.Held, Holder: string(answer.Holder), Address: answer.Address}
	for _, grant := range answer.Grants {
		reply.Grants = append(reply.Grants, &wire.QuotaGrant{
			Account:     string(grant.Account),
			Epoch:       grant.Epoch,
			Loan:        grant.Loan,
			Lent:        int64(grant.Lent),
			LeaseMicros: grant.Lease.Microseconds(),
			Stamp:       grant.Stamp,
			Batch:       grant.Batch,
			Available:   int64(grant.Available),
		})
	}
	return reply
}

func decodeAnswer(reply *wire.QuotaExchangeReply) Answer {
	answer := Answer{Held: reply.GetHeld(), Holder: names.Instance(reply.GetHolder()), Address: reply.GetAddress()}
	for _, grant := range reply.GetGrants() {
		answer.Grants = append(answer.Grants, Grant{
			Account:   names.ClientAccount(grant.GetAccount()),
			Epoch:     grant.GetEpoch(),
			Loan:      grant.GetLoan(),
			Lent:      call.Tokens(grant.GetLent()),
			Lease:     time.Duration(grant.GetLeaseMicros()) * time.Microsecond,
			Stamp:     grant.GetStamp(),
			Batch:     grant.GetBatch(),
			Available: call.Tokens(grant.GetAvailable()),
		})
	}
	return answer
}

func encodeVote(vote Vote) *wire.QuotaVoteRequest {
	return &wire.QuotaVoteRequest{
		Shard:      uint32(vote.Shard),
		Voter:      uint32(vote.Voter),
		VoterEpoch: vote.VoterEpoch,
		Seat:       uint32(vote.Seat),
		Revision:   int64(vote.Revision),
		Against:    vote.Against,
	}
}

func decodeVote(request *wire.QuotaVoteRequest) Vote {
	return Vote{
		Shard:      int(request.GetShard()),
		Voter:      int(request.GetVoter()),
		VoterEpoch: request.GetVoterEpoch(),
		Seat:       int(request.GetSeat()),
		Revision:   store.Revision(request.GetRevision()),
		Against:    request.GetAgainst(),
	}
}
