package node

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/relay"
	"github.com/basilkeel/basilkeel/sched"
)

const (
	// WherePath is the path at which an entry tells operators where a request would go.
	WherePath = "/where"
	// whereTimeout bounds the answer, which may need a call to the coordinator.
	whereTimeout = time.Second
)

// Units of the parts of estimates.
const (
	// UnitMilliseconds is that of the coordinator's estimates.
	UnitMilliseconds = "ms"
	// UnitLoad is that of the entry's own ones: requests relative to slots.
	UnitLoad = "load"
)

// Kinds of verdicts.
const (
	VerdictSend   = "send"
	VerdictWait   = "wait"
	VerdictRefuse = "refuse"
)

// WhereReport is the entry's answer at [WherePath].
type WhereReport struct {
	Route   string        `json:"route,omitempty"`
	Service string        `json:"service,omitempty"`
	Targets []WhereTarget `json:"targets,omitempty"`
	// Scheduled reports whether the service's requests are scheduled; DecidedBy is
	// "coordinator", "entry", or empty if the request is not admitted.
	Scheduled   bool             `json:"scheduled"`
	DecidedBy   string           `json:"decidedBy,omitempty"`
	Unscheduled string           `json:"unscheduled,omitempty"`
	Verdict     WhereVerdict     `json:"verdict"`
	Unit        string           `json:"unit,omitempty"`
	Candidates  []WhereCandidate `json:"candidates"`
}

// WhereTarget is a service that gets a part of a route's requests.
type WhereTarget struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// WhereVerdict is what would become of the request.
type WhereVerdict struct {
	Kind           string  `json:"kind"`
	Server         string  `json:"server,omitempty"`
	Domain         string  `json:"domain,omitempty"`
	WaitMs         float64 `json:"waitMs,omitempty"`
	FirstMs        float64 `json:"firstMs,omitempty"`
	Load           float64 `json:"load,omitempty"`
	AdapterMissing bool    `json:"adapterMissing,omitempty"`
	PermitNeeded   bool    `json:"permitNeeded,omitempty"`
	Status         int     `json:"status,omitempty"`
	Reason         string  `json:"reason,omitempty"`
	RetryAfterMs   float64 `json:"retryAfterMs,omitempty"`
}

// WhereCandidate is a server with its estimate.
type WhereCandidate struct {
	Server string `json:"server"`
	// Excluded is why the server is not considered, or empty.
	Excluded string `json:"excluded,omitempty"`
	// Notes are what else counts, such as that the adapter is missing.
	Notes []string    `json:"notes,omitempty"`
	Total float64     `json:"total"`
	Parts []WherePart `json:"parts,omitempty"`
}

// WherePart is a part of an estimate, in the unit of the report.
type WherePart struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// routeWhere adds the route that explains where a request would go. It is on the address of
// readiness probes, which callers do not reach, and shows no keys and no bodies.
func routeWhere(router *mux.Router, where func(context.Context, relay.Question) relay.Location) {
	router.HandleFunc(WherePath, func(writer http.ResponseWriter, request *http.Request) {
		question, err := parseQuestion(request.URL.Query())
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(request.Context(), whereTimeout)
		defer cancel()
		encoded, err := json.Marshal(reportLocation(where(ctx, question)))
		if err != nil {
			http.Error(writer, err.Error(), http.StatusInternalServerError)
			return
		}
		writer.Header().Set("Content-Type", "application/json")
		// The error is ignored, as an operator that has disconnected needs no answer.
		_, _ = writer.Write(encoded)
	}).Methods(http.MethodGet)
}

// ParameterError reports a parameter of a question that is missing or malformed.
type ParameterError struct {
	Parameter string
	Problem   string
}

// Error implements error.
func (parameterError *ParameterError) Error() string {
	return fmt.Sprintf("%s %s", parameterError.Parameter, parameterError.Problem)
}

// parseQuestion fails with a *[ParameterError].
func parseQuestion(values url.Values) (relay.Question, error) {
	question := relay.Question{
		Host: values.Get("host"), Path: cmp.Or(values.Get("path"), "/"), Service: names.Service(values.Get("service")),
		Account: names.ClientAccount(values.Get("account")), Model: names.Model(values.Get("model")), Adapter: names.Adapter(values.Get("adapter")),
	}
	if question.Host == "" && question.Service == "" {
		return question, &ParameterError{Parameter: "host or service", Problem: "is required"}
	}
	for name, tokens := range map[string]*int64{"promptTokens": &question.PromptTokens, "outputTokens": &question.OutputTokens} {
		*tokens = -1
		text := values.Get(name)
		if text == "" {
			continue
		}
		value, err := strconv.ParseInt(text, 10, 64)
		if err != nil || value < 0 || value > math.MaxInt32 {
			return question, &ParameterError{Parameter: name, Problem: "is not a number of tokens"}
		}
		*tokens = value
	}
	return question, nil
}

// reportLocation encodes a location.
func reportLocation(location relay.Location) WhereReport {
	report := WhereReport{
		Route: location.Route, Service: string(location.Service), Scheduled: location.Scheduled, Unscheduled: location.Unscheduled,
		Verdict: reportVerdict(location.Verdict), Candidates: []WhereCandidate{},
	}
	for _, target := range location.Targets {
		report.Targets = append(report.Targets, WhereTarget{Service: string(target.Service), Weight: target.Weight})
	}
	switch {
	case !location.Admitted:
	case location.Scheduled && location.Unscheduled == "":
		report.DecidedBy, report.Unit = "coordinator", UnitMilliseconds
	default:
		report.DecidedBy, report.Unit = "entry", UnitLoad
	}
	for _, engine := range location.Engines {
		report.Candidates = append(report.Candidates, reportEngine(&engine))
	}
	for _, server := range location.Servers {
		report.Candidates = append(report.Candidates, reportServer(&server))
	}
	return report
}

func reportVerdict(verdict relay.Verdict) WhereVerdict {
	switch verdict := verdict.(type) {
	case relay.VerdictSend:
		return WhereVerdict{
			Kind: VerdictSend, Server: string(verdict.Server), Domain: string(verdict.Domain), WaitMs: milliseconds(verdict.Wait), FirstMs: milliseconds(verdict.First),
			Load: verdict.Load, AdapterMissing: verdict.AdapterMissing, PermitNeeded: verdict.PermitNeeded,
		}
	case relay.VerdictWait:
		return WhereVerdict{Kind: VerdictWait, Reason: string(verdict.Reason), WaitMs: milliseconds(verdict.Wait)}
	case relay.VerdictRefuse:
		return WhereVerdict{
			Kind: VerdictRefuse, Status: verdict.Status, Reason: string(verdict.Reason), RetryAfterMs: milliseconds(verdict.RetryAfter), Load: verdict.LeastLoad,
		}
	default:
		return WhereVerdict{}
	}
}

func reportEngine(engine *sched.Candidate) WhereCandidate {
	estimate := &engine.Estimate
	candidate := WhereCandidate{Server: string(engine.Server), Excluded: engine.Excluded, Total: estimate.Total()}
	// The coordinator has no estimate for servers that only the entry knows.
	if estimate.Pace > 0 {
		candidate.Parts = []WherePart{
			{"wait", estimate.Wait},
			{"backlog", estimate.Backlog},
			{"prompt", estimate.Prompt},
			{"adapter", estimate.Adapter},
			{"distance", estimate.Distance},
			{"load", estimate.Load},
			{"stream", estimate.Stream},
			{"pause", estimate.Pause},
		}
		candidate.Notes = append(candidate.Notes, fmt.Sprintf("pace=%.2f", estimate.Pace))
	}
	if engine.Failing {
		candidate.Notes = append(candidate.Notes, "failing")
	}
	if estimate.CachedTokens > 0 {
		candidate.Notes = append(candidate.Notes, fmt.Sprintf("cachedTokens=%d", estimate.CachedTokens))
	}
	return candidate
}

func reportServer(server *pool.Candidate) WhereCandidate {
	score := &server.Score
	candidate := WhereCandidate{Server: string(server.Server.ID), Excluded: server.Excluded.String(), Total: score.Total()}
	if server.Excluded == pool.ExclusionNone {
		candidate.Parts = []WherePart{
			{"load", score.Load},
			{"slow", score.Slow},
			{"errors", score.Errors},
			{"prompt", score.Prompt},
			{"random", score.Random},
			{"silent", score.Silent},
			{"distance", score.Distance},
		}
	}
	if server.AdapterMissing {
		candidate.Notes = append(candidate.Notes, "adapterMissing")
	}
	if server.Busy {
		candidate.Notes = append(candidate.Notes, "busy")
	}
	return candidate
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
