package coord

import (
	"time"

	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/share"
	"github.com/basilkeel/basilkeel/store"
	"github.com/basilkeel/basilkeel/wire"
)

func encodeReport(report Report, now time.Time) *wire.CoordExchangeRequest {
	message := &wire.CoordExchangeRequest{
		Instance:     string(report.Instance),
		ShareTerm:    report.ShareState.Term,
		ShareVersion: report.ShareState.Version,
		Loads:        encodeLoads(report.Loads),
		Revision:     int64(report.Revision),
	}
	for account := range accountsOf(report.ShareState.Shares, report.ShareState.Usage, report.ShareState.Loans) {
		message.Shares = append(message.Shares, &wire.CoordShare{
			Account: string(account), Share: report.ShareState.Shares[account], UsagePerSecond: report.ShareState.Usage[account],
			Loan: report.ShareState.Loans[account],
		})
	}
	message.Sightings, message.Unconfirmed = encodeSuspicions(report.Suspicions, now)
	message.SuspectsVersion = report.SuspicionsVersion
	message.HoldingsTerm, message.HoldingsVersion = report.Holdings.Term, report.Holdings.Number
	message.Departures = encodeDepartures(report.Departures)
	message.Rates, message.RatesVersion = encodeRates(report.Rates, now), report.RatesVersion
	message.EngineUses = encodeUses(report.EngineUses, now)
	message.ModelLoads = encodeModelLoads(report.ModelLoads)
	for target, demand := range report.Demands {
		message.Demands = append(message.Demands, &wire.CoordModelDemand{
			Service: string(target.Service), Model: string(target.Model), Work: demand.Work, Waiting: int32(demand.Waiting), Requests: int32(demand.Requests),
		})
	}
	return message
}

func decodeReport(message *wire.CoordExchangeRequest, now time.Time) Report {
	report := Report{
		Instance: names.Instance(message.GetInstance()),
		ShareState: share.State{
			Term: message.GetShareTerm(), Version: message.GetShareVersion(), Shares: share.Amounts{}, Usage: share.Amounts{}, Loans: share.Amounts{},
		},
		Loads:    decodeLoads(message.GetLoads()),
		Demands:  map[Target]Demand{},
		Revision: store.Revision(message.GetRevision()),
	}
	for _, each := range message.GetShares() {
		account := names.ClientAccount(each.GetAccount())
		report.ShareState.Shares[account] = each.GetShare()
		report.ShareState.Usage[account] = each.GetUsagePerSecond()
		report.ShareState.Loans[account] = each.GetLoan()
	}
	report.Suspicions, report.SuspicionsVersion = decodeSuspicions(message.GetSightings(), message.GetUnconfirmed(), now), message.GetSuspectsVersion()
	report.Holdings = Version{Term: message.GetHoldingsTerm(), Number: message.GetHoldingsVersion()}
	report.Departures = decodeDepartures(message.GetDepartures())
	report.Rates, report.RatesVersion = decodeRates(message.GetRates(), now), message.GetRatesVersion()
	report.EngineUses = decodeUses(message.GetEngineUses(), now)
	report.ModelLoads = decodeModelLoads(message.GetModelLoads())
	for _, each := range message.GetDemands() {
		target := Target{Service: names.Service(each.GetService()), Model: names.Model(each.GetModel())}
		report.Demands[target] = Demand{Work: each.GetWork(), Waiting: int(each.GetWaiting()), Requests: int(each.GetRequests())}
	}
	return report
}

func encodeReply(reply Reply, now time.Time) *wire.CoordExchangeReply {
	message := &wire.CoordExchangeReply{Term: reply.Term, ShareVersion: reply.Assigned.Version, Loads: encodeLoads(reply.Loads), Revision: int64(reply.Revision)}
	message.LoadsTold, message.Entries = reply.Loads != nil, int32(reply.Entries)
	message.ChangesTo, message.Whole, message.Fresh = int64(reply.ChangesTo), reply.Whole, reply.Fresh
	message.Suspects, message.Unconfirmed = encodeSuspicions(reply.Suspicions, now)
	message.SuspectsVersion = reply.SuspicionsVersion
	message.Rates, message.RatesVersion, message.Rank = encodeRates(reply.Rates, now), reply.RatesVersion, int32(reply.Rank)
	message.Changes = encodeChanges(reply.Changes)
	for account := range accountsOf(reply.Assigned.Shares, reply.Assigned.Lent) {
		message.Shares = append(message.Shares, &wire.CoordShare{
			Account: string(account), Share: reply.Assigned.Shares[account], Loan: reply.Assigned.Lent[account],
		})
	}
	message.HoldingsVersion, message.Departures = reply.HoldingsVersion, encodeDepartures(reply.Departures)
	for _, holding := range reply.Holdings {
		encoded := &wire.CoordHolding{Server: string(holding.Server), Born: holding.Incarnation, Busy: holding.Busy}
		for _, model := range holding.Models {
			encoded.Models = append(encoded.Models, string(model))
		}
		for _, adapter := range holding.Adapters {
			encoded.Adapters = append(encoded.Adapters, &wire.CoordAdapter{Model: string(adapter.Model), Name: string(adapter.Name)})
		}
		message.Holdings = append(message.Holdings, encoded)
	}
	return message
}

func encodeChanges(entries []store.Entry) []*wire.CoordChange {
	encoded := make([]*wire.CoordChange, 0, len(entries))
	for _, entry := range entries {
		encoded = append(encoded, &wire.CoordChange{Key: entry.Key(), Value: entry.Value(), Revision: int64(entry.Revision()), Deleted: entry.Deleted()})
	}
	return encoded
}

func decodeReply(message *wire.CoordExchangeReply, now time.Time) Reply {
	reply := Reply{
		Term:     message.GetTerm(),
		Assigned: share.Assignment{Term: message.GetTerm(), Version: message.GetShareVersion(), Shares: share.Amounts{}, Lent: share.Amounts{}},
		Revision: store.Revision(message.GetRevision()), ChangesTo: store.Revision(message.GetChangesTo()),
		Whole: message.GetWhole(), Fresh: message.GetFresh(),
	}
	reply.Entries = int(message.GetEntries())
	if message.GetLoadsTold() {
		reply.Loads = decodeLoads(message.GetLoads())
	}
	reply.Suspicions, reply.SuspicionsVersion = decodeSuspicions(message.GetSuspects(), message.GetUnconfirmed(), now), message.GetSuspectsVersion()
	reply.Rates, reply.RatesVersion, reply.Rank = decodeRates(message.GetRates(), now), message.GetRatesVersion(), int(message.GetRank())
	for _, each := range message.GetChanges() {
		reply.Changes = append(reply.Changes, store.NewEntry(store.EntryConfig{
			Key: each.GetKey(), Value: each.GetValue(), Revision: store.Revision(each.GetRevision()), Deleted: each.GetDeleted(),
		}))
	}
	for _, each := range message.GetShares() {
		account := names.ClientAccount(each.GetAccount())
		reply.Assigned.Shares[account] = each.GetShare()
		reply.Assigned.Lent[account] = each.GetLoan()
	}
	reply.HoldingsVersion, reply.Departures = message.GetHoldingsVersion(), decodeDepartures(message.GetDepartures())
	for _, each := range message.GetHoldings() {
		holding := pool.Holding{Server: names.BackendServer(each.GetServer()), Incarnation: each.GetBorn(), Busy: each.GetBusy()}
		for _, model := range each.GetModels() {
			holding.Models = append(holding.Models, names.Model(model))
		}
		for _, adapter := range each.GetAdapters() {
			holding.Adapters = append(holding.Adapters, pool.Adapter{Model: names.Model(adapter.GetModel()), Name: names.Adapter(adapter.GetName())})
		}
		reply.Holdings = append(reply.Holdings, holding)
	}
	return reply
}

// encodeSuspicions encodes times as ages, as the clocks of instances differ. It returns the
// unconfirmed suspicions and withdrawals apart from the others.
func encodeSuspicions(suspicions []crash.Suspicion, now time.Time) ([]*wire.CoordSighting, []*wire.CoordUnconfirmed) {
	confirmed := make([]*wire.CoordSighting, 0, len(suspicions))
	var unconfirmed []*wire.CoordUnconfirmed
	for _, suspicion := range suspicions {
		sighting := &wire.CoordSighting{
			Fingerprint: uint64(suspicion.Fingerprint), Server: suspicion.Server, AgeMilliseconds: now.Sub(suspicion.At).Milliseconds(),
			Part: suspicion.Part, Cleared: suspicion.Cleared, Probe: suspicion.Probe,
		}
		if suspicion.CountsAt.IsZero() {
			confirmed = append(confirmed, sighting)
			continue
		}
		unconfirmed = append(unconfirmed, &wire.CoordUnconfirmed{
			Sighting: sighting, CountsAfterMilliseconds: suspicion.CountsAt.Sub(now).Milliseconds(), Withdrawn: suspicion.Withdrawn,
		})
	}
	return confirmed, unconfirmed
}

// decodeSuspicions returns the unconfirmed suspicions first, so that a confirmation in the
// same message follows them.
func decodeSuspicions(confirmed []*wire.CoordSighting, unconfirmed []*wire.CoordUnconfirmed, now time.Time) []crash.Suspicion {
	suspicions := make([]crash.Suspicion, 0, len(confirmed)+len(unconfirmed))
	for _, each := range unconfirmed {
		suspicion := decodeSighting(each.GetSighting(), now)
		if suspicion.Server == "" || suspicion.Cleared {
			continue
		}
		wait := min(max(each.GetCountsAfterMilliseconds(), -crash.MaxUnconfirmed.Milliseconds()), crash.MaxUnconfirmed.Milliseconds())
		suspicion.CountsAt, suspicion.Withdrawn = now.Add(time.Duration(wait)*time.Millisecond), each.GetWithdrawn()
		suspicions = append(suspicions, suspicion)
	}
	for _, each := range confirmed {
		suspicions = append(suspicions, decodeSighting(each, now))
	}
	return suspicions
}

func decodeSighting(sighting *wire.CoordSighting, now time.Time) crash.Suspicion {
	age := time.Duration(max(sighting.GetAgeMilliseconds(), 0)) * time.Millisecond
	return crash.Suspicion{
		Fingerprint: crash.Fingerprint(sighting.GetFingerprint()), Server: sighting.GetServer(), At: now.Add(-age),
		Part: sighting.GetPart(), Cleared: sighting.GetCleared(), Probe: sighting.GetProbe(),
	}
}

func encodeDepartures(departures []pool.Departure) []*wire.CoordDeparture {
	encoded := make([]*wire.CoordDeparture, 0, len(departures))
	for _, departure := range departures {
		encoded = append(encoded, &wire.CoordDeparture{Server: string(departure.Server), Born: departure.Incarnation})
	}
	return encoded
}

func decodeDepartures(encoded []*wire.CoordDeparture) []pool.Departure {
	departures := make([]pool.Departure, 0, len(encoded))
	for _, each := range encoded {
		departures = append(departures, pool.Departure{Server: names.BackendServer(each.GetServer()), Incarnation: each.GetBorn()})
	}
	return departures
}

func encodeLoads(loads map[names.BackendServer]int) []*wire.CoordServerLoad {
	encoded := make([]*wire.CoordServerLoad, 0, len(loads))
	for server, running := range loads {
		encoded = append(encoded, &wire.CoordServerLoad{Server: string(server), Running: int32(running)})
	}
	return encoded
}

func decodeLoads(encoded []*wire.CoordServerLoad) map[names.BackendServer]int {
	loads := make(map[names.BackendServer]int, len(encoded))
	for _, each := range encoded {
		loads[names.BackendServer(each.GetServer())] = int(each.GetRunning())
	}
	return loads
}

// accountsOf returns the union of the accounts in sets.
func accountsOf(sets ...share.Amounts) map[names.ClientAccount]bool {
	accounts := map[names.ClientAccount]bool{}
	for _, amounts := range sets {
		for account := range amounts {
			accounts[account] = true
		}
	}
	return accounts
}
