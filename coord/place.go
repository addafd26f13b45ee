package coord

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
	"unicode/utf8"

	metrics "github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/sched"
	"github.com/basilkeel/basilkeel/wire"
)

const (
	// enginesPeriod is the least time between two updates of the schedulers' engines, and
	// enginePeriod that for each server: an update takes some microseconds for each.
	enginesPeriod = 100 * time.Millisecond
	enginePeriod  = 200 * time.Microsecond
	// placeCallsPerCore is the number of calls a second that a coordinator answers for each
	// core that it may use. A call takes about 0.1 ms.
	placeCallsPerCore  = 5000
	placeCallsHalfLife = 500 * time.Millisecond
	// unknownCores is assumed if the processor limit is unknown.
	unknownCores = 1.0
)

// Place schedules one attempt of a request. It fails with a *[NotCoordinatingError].
func (coordinator *Coordinator) Place(service names.Service, request sched.Request) (sched.Decision, error) {
	term, snapshot, now, err := coordinator.lockTerm()
	if err != nil {
		return nil, err
	}
	defer coordinator.mutex.Unlock()
	scheduler := coordinator.scheduler(term, service, snapshot, now)
	if scheduler == nil || coordinator.overloaded(term, now) {
		metrics.GetOrRegisterCounter("coord.place.unscheduled", coordinator.config.Metrics).Inc(1)
		return sched.Unscheduled{}, nil
	}
	request.Closed = append(request.Closed, term.coldRates.closed(service, request.Excluded, now)...)
	// Only the calls that are answered count: those beyond must not keep others from it.
	term.placeCalls.Add(1, now)
	decision := term.addReady(scheduler.Place(request, now), service, request.Model, snapshot, now)
	if placed, isPlaced := decision.(sched.Placed); isPlaced {
		term.coldRates.recordPlaced(placed, now)
	}
	metrics.GetOrRegisterCounter("coord.place."+outcomeOf(decision), coordinator.config.Metrics).Inc(1)
	return decision, nil
}

// addReady adds the expected time until the model is loaded to a [sched.NoCopy].
func (term *term) addReady(decision sched.Decision, service names.Service, model names.Model, snapshot *policy.Snapshot, now time.Time) sched.Decision {
	if _, missing := decision.(sched.NoCopy); missing {
		return sched.NoCopy{Ready: term.readyAfter(service, model, snapshot, now)}
	}
	return decision
}

// readyAfter returns the expected time until a model that no engine of a service holds is loaded,
// or zero if that is unknown.
func (term *term) readyAfter(service names.Service, model names.Model, snapshot *policy.Snapshot, now time.Time) time.Duration {
	configured := snapshot.Service(service)
	if configured == nil || configured.Engine == nil {
		return 0
	}
	if _, known := configured.Engine.Models[model]; !known {
		return 0
	}
	key := loadKey{service: service, model: model}
	if ready, found := term.loadTimes[key]; found && now.Sub(ready.at) < loadTimePeriod {
		return ready.after
	}
	after := term.dispatcher.ReadyAfter(service, model, configured.Engine)
	term.loadTimes[key] = loadTime{at: now, after: after}
	return after
}

// loadTimePeriod is how long an expected time until a model is loaded is used again. It is
// computed from all engines: that takes 0.3 to 0.5 ms with 3,000 servers, and is asked for by
// each request for a model without a copy.
const loadTimePeriod = 100 * time.Millisecond

// loadKey identifies a model of a service.
type loadKey struct {
	service names.Service
	model   names.Model
}

// loadTime is the time until a model is expected to be loaded, as computed at a time.
type loadTime struct {
	at    time.Time
	after time.Duration
}

// overloaded reports whether the coordinator is asked to schedule more requests than it can.
// It is called with the coordinator's mutex held.
func (coordinator *Coordinator) overloaded(term *term, now time.Time) bool {
	return term.placeCalls.PerSecond(now) > placeCallsPerCore*cmp.Or(coordinator.config.Cores, unknownCores)
}

// Explain returns what [Coordinator.Place] would decide, and the candidates, the best first.
// It reserves nothing. It fails with a *[NotCoordinatingError].
func (coordinator *Coordinator) Explain(service names.Service, request sched.Request) (sched.Explanation, error) {
	term, snapshot, now, err := coordinator.lockTerm()
	if err != nil {
		return sched.Explanation{}, err
	}
	defer coordinator.mutex.Unlock()
	scheduler := coordinator.scheduler(term, service, snapshot, now)
	if scheduler == nil {
		return sched.Explanation{Decision: sched.Unscheduled{}}, nil
	}
	request.Closed = append(request.Closed, term.coldRates.closed(service, request.Excluded, now)...)
	decision := term.addReady(scheduler.Verdict(request, now), service, request.Model, snapshot, now)
	explanation := sched.Explanation{Decision: decision, Candidates: scheduler.Explain(request, now)}
	if coordinator.overloaded(term, now) {
		explanation.Decision = sched.Unscheduled{}
	}
	return explanation, nil
}

// scheduler returns the scheduler of a service, or nil if its requests are not scheduled.
// It is called with the coordinator's mutex held.
func (coordinator *Coordinator) scheduler(term *term, service names.Service, snapshot *policy.Snapshot, now time.Time) *sched.Scheduler {
	coordinator.refreshEngines(term, snapshot, now)
	return term.schedulers[service]
}

// refreshEngines updates the schedulers by the policy, the registry and the holdings of
// engines, at most once in enginesPeriod. It is called with the coordinator's mutex held.
func (coordinator *Coordinator) refreshEngines(term *term, snapshot *policy.Snapshot, now time.Time) {
	period := max(enginesPeriod, time.Duration(term.engineCount)*enginePeriod)
	if !term.enginesReadAt.IsZero() && now.Sub(term.enginesReadAt) < period {
		return
	}
	term.enginesReadAt = now
	term.coldRates.reset(term.divider.ReportingPart(now))
	maps.DeleteFunc(term.schedulers, func(service names.Service, _ *sched.Scheduler) bool { return snapshot.Scheduling(service) == nil })
	var servers []*pool.Server
	for _, service := range snapshot.Services() {
		scheduling := snapshot.Scheduling(service.Name)
		if scheduling == nil {
			continue
		}
		if servers == nil {
			servers = coordinator.withoutEvacuated(coordinator.config.Servers(now))
			term.engineCount = len(servers)
		}
		scheduler, found := term.schedulers[service.Name]
		switch {
		case !found:
			scheduler = sched.New(schedulerConfig(service, scheduling, snapshot))
			term.schedulers[service.Name] = scheduler
		case snapshot != term.schedulerPolicy:
			scheduler.Configure(schedulerConfig(service, scheduling, snapshot))
		}
		scheduler.SetEngines(term.engines(service.Name, servers))
		term.coldRates.add(service.Name, servers, coordinator.config.ColdRate, now)
	}
	term.schedulerPolicy = snapshot
}

// withoutEvacuated removes the servers of evacuated failure domains.
func (coordinator *Coordinator) withoutEvacuated(servers []*pool.Server) []*pool.Server {
	if coordinator.config.Evacuated == nil {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), func(server *pool.Server) bool { return coordinator.config.Evacuated(server.Domain) })
}

func schedulerConfig(service *policy.Service, scheduling *policy.Scheduling, snapshot *policy.Snapshot) sched.Config {
	rates := map[names.ClientAccount]float64{}
	for _, account := range snapshot.Accounts() {
		rates[account.Name] = account.Rate
	}
	return sched.Config{
		DeferFrom: scheduling.DeferFrom, GapObjective: scheduling.GapObjective, Priorities: scheduling.Priorities,
		CacheTokens: service.Engine.CacheTokens, EventTokens: service.Engine.EventTokens,
		AccountRate: func(account names.ClientAccount) float64 { return rates[account] },
		Random:      rand.Float64,
	}
}

// engines returns the engines of a service that accept requests. It is called with the
// coordinator's mutex held.
func (term *term) engines(service names.Service, servers []*pool.Server) []sched.Engine {
	holdings := map[names.BackendServer]pool.Holding{}
	for _, holding := range term.dispatcher.Holdings(service) {
		holdings[holding.Server] = holding
	}
	var engines []sched.Engine
	for _, server := range servers {
		departed := pool.Departure{Server: server.ID, Incarnation: server.Incarnation}
		if _, leaving := term.departures[departed]; server.Service != service || server.Draining || leaving {
			continue
		}
		engine := sched.Engine{Server: server, Models: server.Models, Adapters: server.Adapters}
		if holding, known := holdings[server.ID]; known && holding.Incarnation == server.Incarnation {
			engine.Models, engine.Adapters, engine.Busy = holding.Models, holding.Adapters, holding.Busy
		}
		engines = append(engines, engine)
	}
	return engines
}

// reportToSchedulers passes an entry's report to the schedulers. It is called with the
// coordinator's mutex held.
func (coordinator *Coordinator) reportToSchedulers(term *term, report Report, snapshot *policy.Snapshot, now time.Time) {
	coordinator.refreshEngines(term, snapshot, now)
	for _, scheduler := range term.schedulers {
		if invalid := scheduler.Report(report.Instance, report.Loads, report.EngineUses, now); invalid > 0 {
			metrics.GetOrRegisterCounter("coord.place.invalidMeasurements", coordinator.config.Metrics).Inc(int64(invalid))
		}
	}
}

// checkScheduling fails with a *[NoAnswerError] if a request has not been answered and no report
// was answered since. Reports are sent without requests that wait for them.
func (client *Client) checkScheduling() error {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if !client.unansweredAt.After(client.answeredAt) {
		return nil
	}
	return &NoAnswerError{Since: client.config.Clock.Now().Sub(client.unansweredAt)}
}

// readable reports whether the names in a request that come from the caller are UTF-8 text. Any
// other is that of no model, and no call could be encoded with it.
func readable(request sched.Request) bool {
	return utf8.ValidString(string(request.Model)) && utf8.ValidString(string(request.Adapter))
}

// Place implements [relay.Coordinator].
func (client *Client) Place(ctx context.Context, service names.Service, request sched.Request) (sched.Decision, error) {
	if !readable(request) {
		return sched.Unscheduled{}, nil
	}
	request.Instance, request.Slowdowns = client.config.Instance, client.config.Pool.TakeSlowdowns()
	conn, self, err := client.coordinatorConn()
	if err != nil {
		return nil, err
	}
	if self {
		return client.config.Coordinator.Place(service, request)
	}
	if err := client.checkScheduling(); err != nil {
		return nil, err
	}
	callCtx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	reply, err := wire.NewCoordinationClient(conn).Place(callCtx, encodePlaceRequest(service, request, client.config.Clock.Now()), grpc.WaitForReady(false))
	if err != nil {
		if ctx.Err() == nil {
			client.recordUnanswered()
		}
		return nil, err
	}
	return decodePlaceReply(reply)
}

// Explain implements [relay.Coordinator]. Unlike Place, it reports no slowdowns, and a failed
// call does not count as evidence that the coordinator is unresponsive.
func (client *Client) Explain(ctx context.Context, service names.Service, request sched.Request) (sched.Explanation, error) {
	if !readable(request) {
		return sched.Explanation{Decision: sched.Unscheduled{}}, nil
	}
	request.Instance = client.config.Instance
	conn, self, err := client.coordinatorConn()
	if err != nil {
		return sched.Explanation{}, err
	}
	if self {
		return client.config.Coordinator.Explain(service, request)
	}
	if err := client.checkScheduling(); err != nil {
		return sched.Explanation{}, err
	}
	message := encodePlaceRequest(service, request, client.config.Clock.Now())
	message.Explain = true
	callCtx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	reply, err := wire.NewCoordinationClient(conn).Place(callCtx, message, grpc.WaitForReady(false))
	if err != nil {
		return sched.Explanation{}, err
	}
	decision, err := decodePlaceReply(reply)
	if err != nil {
		return sched.Explanation{}, err
	}
	return sched.Explanation{Decision: decision, Candidates: decodeCandidates(reply.GetCandidates())}, nil
}

// Place implements [wire.CoordinationServer].
func (server *Server) Place(_ context.Context, message *wire.CoordPlaceRequest) (*wire.CoordPlaceReply, error) {
	service, request := decodePlaceRequest(message, server.coordinator.config.Clock.Now())
	if message.GetExplain() {
		explanation, err := server.coordinator.Explain(service, request)
		if err != nil {
			return nil, encodeError(err)
		}
		reply := encodeDecision(explanation.Decision)
		reply.Candidates = encodeCandidates(explanation.Candidates)
		return reply, nil
	}
	decision, err := server.coordinator.Place(service, request)
	if err != nil {
		return nil, encodeError(err)
	}
	return encodeDecision(decision), nil
}

// Outcomes of a call to schedule a request, as they are sent.
const (
	outcomePlaced      = "placed"
	outcomeLater       = "later"
	outcomeRefused     = "refused"
	outcomeNoCopy      = "noCopy"
	outcomeNoServer    = "noServer"
	outcomeUnscheduled = "unscheduled"
)

func outcomeOf(decision sched.Decision) string {
	switch decision.(type) {
	case sched.Placed:
		return outcomePlaced
	case sched.Later:
		return outcomeLater
	case sched.Refused:
		return outcomeRefused
	case sched.NoCopy:
		return outcomeNoCopy
	case sched.NoServer:
		return outcomeNoServer
	default:
		return outcomeUnscheduled
	}
}

func encodeDecision(decision sched.Decision) *wire.CoordPlaceReply {
	reply := &wire.CoordPlaceReply{Outcome: outcomeOf(decision)}
	switch decision := decision.(type) {
	case sched.Placed:
		reply.Server, reply.Born, reply.WaitMilliseconds = string(decision.Server), decision.Incarnation, decision.Wait.Milliseconds()
		reply.AdapterMissing, reply.Load, reply.Idle = decision.AdapterMissing, decision.Load, decision.Idle
		reply.FirstMilliseconds, reply.UnreadTokens = decision.First.Milliseconds(), int32(decision.UnreadTokens)
	case sched.Later:
		reply.WaitMilliseconds = decision.Wait.Milliseconds()
	case sched.Refused:
		reply.WaitMilliseconds, reply.Load = decision.RetryAfter.Milliseconds(), decision.Load
	case sched.NoCopy:
		reply.WaitMilliseconds = decision.Ready.Milliseconds()
	case sched.NoServer, sched.Unscheduled:
	}
	return reply
}

// decodePlaceReply fails with an *[OutcomeError].
func decodePlaceReply(reply *wire.CoordPlaceReply) (sched.Decision, error) {
	wait := boundedTime(reply.GetWaitMilliseconds())
	switch reply.GetOutcome() {
	case outcomePlaced:
		return sched.Placed{
			Server: names.BackendServer(reply.GetServer()), Incarnation: reply.GetBorn(), Wait: wait, AdapterMissing: reply.GetAdapterMissing(),
			Load: reply.GetLoad(), First: boundedTime(reply.GetFirstMilliseconds()),
			UnreadTokens: int64(reply.GetUnreadTokens()), Idle: reply.GetIdle(),
		}, nil
	case outcomeLater:
		return sched.Later{Wait: wait}, nil
	case outcomeRefused:
		return sched.Refused{RetryAfter: wait, Load: reply.GetLoad()}, nil
	case outcomeNoCopy:
		return sched.NoCopy{Ready: wait}, nil
	case outcomeNoServer:
		return sched.NoServer{}, nil
	case outcomeUnscheduled:
		return sched.Unscheduled{}, nil
	default:
		return nil, &OutcomeError{Outcome: reply.GetOutcome()}
	}
}

func encodePlaceRequest(service names.Service, request sched.Request, now time.Time) *wire.CoordPlaceRequest {
	message := &wire.CoordPlaceRequest{
		Instance: string(request.Instance), Service: string(service), Model: string(request.Model), Adapter: string(request.Adapter),
		PromptTokens: boundedTokens(request.PromptTokens), Tokens: request.Tokens,
		ElapsedMilliseconds: request.Elapsed.Milliseconds(), ObjectiveMilliseconds: request.Objective.Milliseconds(),
		LeftMilliseconds: request.Left.Milliseconds(), Priority: int32(request.Priority), Account: string(request.Account),
		OutputTokens: boundedTokens(request.OutputTokens), Slowdowns: encodeUses(request.Slowdowns, now),
		Domain: string(request.Domain), Excluded: encodeServers(request.Excluded), Failing: encodeServers(request.Failing),
		Closed: encodeServers(request.Closed),
	}
	for _, part := range request.Parts {
		message.Parts = append(message.Parts, &wire.CoordPromptPart{Id: part.ID, Tokens: boundedTokens(part.Tokens)})
	}
	return message
}

const (
	// maxPromptTokens bounds the tokens of a prompt in a message, maxTime the times.
	maxPromptTokens = 1 << 30
	maxTime         = time.Hour
	// maxMeasurements bounds the measurements of a kind that count for an engine in a message.
	// An entry sends at most eight.
	maxMeasurements = 16
)

// boundedTokens returns a number of tokens as it is sent.
func boundedTokens(tokens int64) int32 { return int32(min(max(tokens, 0), maxPromptTokens)) }

// boundedTime returns a time from a message, which cannot overflow.
func boundedTime(milliseconds int64) time.Duration {
	return time.Duration(min(max(milliseconds, 0), maxTime.Milliseconds())) * time.Millisecond
}

// firstMeasurements returns the measurements that count.
func firstMeasurements[T any](measurements []T) []T {
	return measurements[:min(len(measurements), maxMeasurements)]
}

func decodePlaceRequest(message *wire.CoordPlaceRequest, now time.Time) (names.Service, sched.Request) {
	request := sched.Request{
		Instance: names.Instance(message.GetInstance()), Model: names.Model(message.GetModel()), Adapter: names.Adapter(message.GetAdapter()),
		PromptTokens: int64(max(message.GetPromptTokens(), 0)), Tokens: max(message.GetTokens(), 0),
		OutputTokens: int64(max(message.GetOutputTokens(), 0)), Slowdowns: decodeUses(message.GetSlowdowns(), now),
		Elapsed:   boundedTime(message.GetElapsedMilliseconds()),
		Objective: boundedTime(message.GetObjectiveMilliseconds()),
		Left:      boundedTime(message.GetLeftMilliseconds()),
		Priority:  int(message.GetPriority()), Account: names.ClientAccount(message.GetAccount()), Domain: names.FailureDomain(message.GetDomain()),
		Excluded: decodeServers(message.GetExcluded()), Failing: decodeServers(message.GetFailing()),
		Closed: decodeServers(message.GetClosed()),
	}
	for _, part := range message.GetParts() {
		request.Parts = append(request.Parts, sched.Part{ID: part.GetId(), Tokens: int64(max(part.GetTokens(), 0))})
	}
	return names.Service(message.GetService()), request
}

func encodeServers(servers []names.BackendServer) []string {
	encoded := make([]string, 0, len(servers))
	for _, server := range servers {
		encoded = append(encoded, string(server))
	}
	return encoded
}

func decodeServers(encoded []string) []names.BackendServer {
	servers := make([]names.BackendServer, 0, len(encoded))
	for _, server := range encoded {
		servers = append(servers, names.BackendServer(server))
	}
	return servers
}

func encodeCandidates(candidates []sched.Candidate) []*wire.CoordCandidate {
	encoded := make([]*wire.CoordCandidate, 0, len(candidates))
	for _, candidate := range candidates {
		estimate := &candidate.Estimate
		encoded = append(encoded, &wire.CoordCandidate{
			Server: string(candidate.Server), Excluded: candidate.Excluded, Wait: estimate.Wait, Backlog: estimate.Backlog, Prompt: estimate.Prompt,
			Adapter: estimate.Adapter, Distance: estimate.Distance, Load: estimate.Load, Pause: estimate.Pause, Stream: estimate.Stream, Total: estimate.Total(),
			CachedTokens: int32(estimate.CachedTokens), Pace: estimate.Pace, Failing: candidate.Failing,
		})
	}
	return encoded
}

func decodeCandidates(encoded []*wire.CoordCandidate) []sched.Candidate {
	candidates := make([]sched.Candidate, 0, len(encoded))
	for _, message := range encoded {
		candidates = append(candidates, sched.Candidate{
			Server: names.BackendServer(message.GetServer()), Excluded: message.GetExcluded(), Failing: message.GetFailing(),
			Estimate: sched.Estimate{
				Wait: message.GetWait(), Backlog: message.GetBacklog(), Prompt: message.GetPrompt(), Adapter: message.GetAdapter(),
				Distance: message.GetDistance(), Load: message.GetLoad(), Stream: message.GetStream(), Pause: message.GetPause(),
				CachedTokens: int64(message.GetCachedTokens()), Pace: message.GetPace(),
			},
		})
	}
	return candidates
}

func encodeUses(uses []pool.EngineUse, now time.Time) []*wire.CoordEngineUse {
	encoded := make([]*wire.CoordEngineUse, 0, len(uses))
	for _, use := range uses {
		message := &wire.CoordEngineUse{Server: string(use.Server), Born: use.Incarnation, Events: int32(use.Events), EventMilliseconds: use.EventMilliseconds}
		for _, reading := range use.Readings {
			message.Readings = append(message.Readings, &wire.CoordReading{Tokens: boundedTokens(reading.Tokens), Milliseconds: reading.Milliseconds})
		}
		for _, slowdown := range use.Slowdowns {
			message.Slowdowns = append(message.Slowdowns, &wire.CoordSlowdown{Factor: slowdown.Factor, AgeMilliseconds: now.Sub(slowdown.At).Milliseconds()})
		}
		encoded = append(encoded, message)
	}
	return encoded
}

func decodeUses(encoded []*wire.CoordEngineUse, now time.Time) []pool.EngineUse {
	uses := make([]pool.EngineUse, 0, len(encoded))
	for _, message := range encoded {
		use := pool.EngineUse{
			Server: names.BackendServer(message.GetServer()), Incarnation: message.GetBorn(), Events: int(message.GetEvents()), EventMilliseconds: message.GetEventMilliseconds(),
		}
		for _, reading := range firstMeasurements(message.GetReadings()) {
			use.Readings = append(use.Readings, pool.Reading{Tokens: int64(reading.GetTokens()), Milliseconds: reading.GetMilliseconds()})
		}
		for _, slowdown := range firstMeasurements(message.GetSlowdowns()) {
			use.Slowdowns = append(use.Slowdowns, pool.Slowdown{At: now.Add(-boundedTime(slowdown.GetAgeMilliseconds())), Factor: slowdown.GetFactor()})
		}
		uses = append(uses, use)
	}
	return slices.Clip(uses)
}
