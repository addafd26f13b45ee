package relay

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/sched"
)

// Question describes a request that is not sent, see [Relay.Where].
type Question struct {
	// Host and Path find the route. Without a host it is the first one that sends requests
	// to Service.
	Host string
	Path string
	// Service is one of the route's targets. If it is empty, the one that gets most requests
	// is meant.
	Service names.Service
	// Account is the client account, or empty for none. It has no effect where requests need no
	// key.
	Account names.ClientAccount
	Model   names.Model
	Adapter names.Adapter
	// PromptTokens and OutputTokens are negative if unspecified.
	PromptTokens int64
	OutputTokens int64
}

// Location is where a request would go, and why.
type Location struct {
	// Route and Service are empty if none was found. Targets are all of the route.
	Route   string
	Service names.Service
	Targets []policy.Target
	// Admitted reports whether a server is looked for. Otherwise only Verdict, a
	// [VerdictRefuse], is set of the fields below.
	Admitted bool
	// Scheduled reports whether the service's requests are scheduled. Unscheduled is why the
	// entry chooses by itself nevertheless; it is empty if the coordinator decides.
	Scheduled   bool
	Unscheduled string
	Verdict     Verdict
	// Engines are the coordinator's candidates if it decides; otherwise Servers are the
	// entry's. The best is first.
	Engines []sched.Candidate
	Servers []pool.Candidate
}

// Verdict is what would happen to a request: [VerdictSend], [VerdictWait] or
// [VerdictRefuse].
type Verdict interface{ verdict() }

// VerdictSend means that the request is sent to a server.
type VerdictSend struct {
	Server names.BackendServer
	Domain names.FailureDomain
	// Wait is the time until it may be sent.
	Wait time.Duration
	// Load is the server's number of requests relative to its slots.
	Load float64
	// First is the expected time from the sending to the first event, or zero if the
	// coordinator does not decide.
	First time.Duration
	// AdapterMissing reports whether the adapter has to be loaded first, PermitNeeded whether
	// the server is cold or declares a rate, so that the request also needs a permit.
	AdapterMissing bool
	PermitNeeded   bool
}

// VerdictWait means that the request waits and then asks again.
type VerdictWait struct {
	// Reason is [ReasonModelNotLoaded] or [ReasonServersFull].
	Reason Reason
	// Wait is the time until it asks again, or zero if that is unknown.
	Wait time.Duration
}

// VerdictRefuse means that the request is refused.
type VerdictRefuse struct {
	Status int
	Reason Reason
	// RetryAfter is the least time after which callers are told to come back, or zero.
	RetryAfter time.Duration
	// LeastLoad is the load of the best server if all are full.
	LeastLoad float64
}

func (VerdictSend) verdict()   {}
func (VerdictWait) verdict()   {}
func (VerdictRefuse) verdict() {}

// entryExclusion precedes the entry's own cause where the coordinator only knows that the
// entry excludes a server.
const entryExclusion = "entry:"

// Where returns where a request would go now. It sends nothing, reserves nothing, and uses
// no permit and none of the account's limit. What depends on keys, limits and the body of a
// request is not considered.
func (relay *Relay) Where(ctx context.Context, question Question) Location {
	exchange := &exchange{
		relay: relay, started: relay.config.Clock.Now(), dry: true,
		info: RequestInfo{Model: question.Model, Adapter: question.Adapter, PromptTokens: question.PromptTokens, OutputTokens: question.OutputTokens},
	}
	var location Location
	if refusal := exchange.admitDry(question); refusal != nil {
		location.Verdict = refusal.verdict()
	}
	if exchange.route != nil {
		location.Route, location.Targets = exchange.route.Name, exchange.route.Targets
	}
	location.Service = exchange.service
	if location.Admitted = location.Verdict == nil; location.Admitted {
		exchange.locate(ctx, &location)
	}
	return location
}

// admitDry finds the route, the account and the service as admit does. It returns nil if the
// request would be admitted, as far as the question tells.
func (exchange *exchange) admitDry(question Question) *refusal {
	snapshot, refused := exchange.relay.currentPolicy()
	if refused != nil {
		return refused
	}
	if question.Host == "" {
		exchange.route = snapshot.RouteTo(question.Service)
	} else {
		path, _, _ := strings.Cut(question.Path, "?")
		exchange.route = snapshot.Route(question.Host, path)
	}
	if exchange.route == nil || question.Service != "" && !exchange.route.Sends(question.Service) {
		exchange.route = nil
		return &refusal{status: http.StatusNotFound, reason: ReasonNoRoute}
	}
	if exchange.service = question.Service; exchange.service == "" {
		most := slices.MaxFunc(exchange.route.Targets, func(a, b policy.Target) int { return cmp.Compare(a.Weight, b.Weight) })
		exchange.service = most.Service
	}
	if question.Account != "" && snapshot.NeedsKeys() && !exchange.route.Open {
		accounts := snapshot.Accounts()
		index := slices.IndexFunc(accounts, func(account *policy.Account) bool { return account.Name == question.Account })
		if index < 0 {
			return &refusal{status: http.StatusUnauthorized, reason: ReasonUnknownKey}
		}
		exchange.account = accounts[index]
		exchange.cost = exchange.account.Cost(exchange.info.Tokens())
	}
	return exchange.bound()
}

// locate determines the verdict about an admitted request, and its candidates.
func (exchange *exchange) locate(ctx context.Context, location *Location) {
	location.Scheduled, location.Unscheduled = exchange.scheduling()
	if location.Scheduled && location.Unscheduled == "" {
		if location.Unscheduled = exchange.locateScheduled(ctx, location); location.Unscheduled == "" {
			return
		}
	}
	choice, candidates := exchange.relay.config.Pool.Explain(exchange.query(), exchange.now())
	location.Servers = candidates
	location.Verdict = exchange.verdictOn(choice)
}

// locateScheduled is locate for a request that the coordinator decides about. It returns why
// the entry chooses by itself, or an empty string.
func (exchange *exchange) locateScheduled(ctx context.Context, location *Location) string {
	var unusable []names.BackendServer
	for len(unusable) <= maxUnusable {
		explanation, err := exchange.relay.config.Coordinator.Explain(ctx, exchange.service, exchange.schedulingRequest(unusable))
		if err != nil {
			return unscheduledUnanswered
		}
		switch decision := explanation.Decision.(type) {
		case sched.Placed:
			server, usable := exchange.usableServer(decision)
			if !usable {
				unusable = append(unusable, decision.Server)
				continue
			}
			location.Verdict = VerdictSend{
				Server: server.ID, Domain: server.Domain, Wait: decision.Wait, Load: decision.Load, First: decision.First,
				AdapterMissing: decision.AdapterMissing, PermitNeeded: exchange.relay.config.Pool.Gate().Limited(server.Identity(), exchange.now()),
			}
		case sched.Later:
			location.Verdict = VerdictWait{Reason: ReasonServersFull, Wait: decision.Wait}
		case sched.Refused:
			location.Verdict = refusalBy(decision).verdict()
		case sched.NoCopy:
			if refusal := exchange.refuseLongLoad(decision); refusal != nil {
				location.Verdict = refusal.verdict()
			} else {
				location.Verdict = exchange.verdictOn(pool.NoCopy{})
			}
		case sched.NoServer:
			location.Verdict = exchange.verdictOn(pool.NoServer{})
		default:
			return unscheduledOverloaded
		}
		location.Engines = exchange.withEntryExclusions(explanation.Candidates)
		return ""
	}
	return unscheduledUnusable
}

// withEntryExclusions adds why the entry itself excludes servers: those that the coordinator
// only knows as excluded, and those that it does not consider at all.
func (exchange *exchange) withEntryExclusions(engines []sched.Candidate) []sched.Candidate {
	_, servers := exchange.relay.config.Pool.Explain(exchange.query(), exchange.now())
	for _, server := range servers {
		cause := entryExclusion + server.Excluded.String()
		index := slices.IndexFunc(engines, func(engine sched.Candidate) bool { return engine.Server == server.Server.ID })
		switch {
		case server.Excluded == pool.ExclusionNone:
		case index < 0:
			engines = append(engines, sched.Candidate{Server: server.Server.ID, Excluded: cause})
		case engines[index].Excluded == sched.ExcludedByEntry:
			engines[index].Excluded = cause
		}
	}
	return engines
}

// verdictOn returns what becomes of the request after the pool's choice.
func (exchange *exchange) verdictOn(choice pool.Choice) Verdict {
	switch choice := choice.(type) {
	case pool.Chosen:
		server := choice.Server
		return VerdictSend{
			Server: server.ID, Domain: server.Domain, Load: choice.Load, AdapterMissing: choice.AdapterMissing,
			PermitNeeded: exchange.relay.config.Pool.Gate().Limited(server.Identity(), exchange.now()),
		}
	case pool.NoCopy:
		if exchange.info.Model != "" && exchange.mayWait(exchange.started) {
			return VerdictWait{Reason: ReasonModelNotLoaded}
		}
	default:
	}
	return refusalFor(choice).verdict()
}

// verdict returns the refusal as a verdict. Callers are told to come back up to retryJitter
// later.
func (refusal *refusal) verdict() Verdict {
	return VerdictRefuse{
		Status: refusal.status, Reason: refusal.reason, RetryAfter: min(refusal.retryAfter, maxRetryAfter), LeastLoad: refusal.leastLoad,
	}
}
