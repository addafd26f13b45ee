package stand

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"

	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/names"
)

// PathCounts returns how often a stand-in plain service ran each request.
const PathCounts = "/counts"

// PlainServiceConfig configures a [PlainService].
type PlainServiceConfig struct {
	// Clock is the source of time; nil means the system clock.
	Clock clockwork.Clock
}

// PlainServiceFaults describes the faults injected into a stand-in plain service.
// Each counter is the number of the next calls that it affects.
type PlainServiceFaults struct {
	// Delay is the time before each call runs.
	Delay time.Duration
	// FailBefore counts calls that do not run and are answered with status 500.
	FailBefore int
	// FailAfter counts calls that run and are answered with status 500.
	FailAfter int
	// DropBefore counts calls that do not run and whose connection is aborted.
	DropBefore int
	// DropAnswers counts calls that run and whose connection is aborted.
	DropAnswers int
}

// PlainService is a stand-in plain service. It echoes calls and counts how often
// each request ran.
type PlainService struct {
	clock clockwork.Clock

	// mu guards the fields below.
	mu     sync.Mutex
	faults PlainServiceFaults
	counts map[names.Request]int
	// leaks counts the calls that carried a caller's credentials.
	leaks int
}

// NewPlainService returns a stand-in plain service.
func NewPlainService(config PlainServiceConfig) *PlainService {
	source := config.Clock
	if source == nil {
		source = clockwork.NewRealClock()
	}
	return &PlainService{clock: source, counts: map[names.Request]int{}}
}

// SetFaults replaces the injected faults.
func (plainService *PlainService) SetFaults(faults PlainServiceFaults) {
	plainService.mu.Lock()
	defer plainService.mu.Unlock()
	plainService.faults = faults
}

// Counts returns the number of runs of each request.
func (plainService *PlainService) Counts() map[names.Request]int {
	plainService.mu.Lock()
	defer plainService.mu.Unlock()
	counts := make(map[names.Request]int, len(plainService.counts))
	for request, count := range plainService.counts {
		counts[request] = count
	}
	return counts
}

// CredentialLeaks returns the number of calls that carried an Authorization
// header, which must not reach a plain service.
func (plainService *PlainService) CredentialLeaks() int {
	plainService.mu.Lock()
	defer plainService.mu.Unlock()
	return plainService.leaks
}

// Handler returns the service's HTTP interface.
func (plainService *PlainService) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(PathFaults, plainService.serveFaults).Methods(http.MethodGet, http.MethodPost)
	router.HandleFunc(PathCounts, plainService.serveCounts).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(plainService.serveCall)
	return router
}

func (plainService *PlainService) serveCall(writer http.ResponseWriter, request *http.Request) {
	body, ok := readBody(writer, request)
	if !ok {
		return
	}
	outcome := plainService.nextOutcome(request)
	if outcome.delay > 0 {
		select {
		case <-plainService.clock.After(outcome.delay):
		case <-request.Context().Done():
			return
		}
	}
	if outcome.runs {
		plainService.count(names.Request(request.Header.Get(engine.HeaderRequest)))
	}
	switch {
	case outcome.drops:
		panic(http.ErrAbortHandler)
	case outcome.fails:
		http.Error(writer, "stand-in fault", http.StatusInternalServerError)
	default:
		writePlainServiceEcho(writer, request, body)
	}
}

func writePlainServiceEcho(writer http.ResponseWriter, request *http.Request, body []byte) {
	echo, err := json.Marshal(plainServiceEchoWire{
		Method: request.Method, Path: request.URL.RequestURI(), Body: string(body),
		Request: request.Header.Get(engine.HeaderRequest), Account: request.Header.Get(engine.HeaderAccount),
	})
	writeJSONBody(writer, http.StatusOK, echo, err)
}

// plainServiceOutcome describes how one call is handled under the faults.
type plainServiceOutcome struct {
	delay time.Duration
	runs  bool
	fails bool
	drops bool
}

func (plainService *PlainService) nextOutcome(request *http.Request) plainServiceOutcome {
	plainService.mu.Lock()
	defer plainService.mu.Unlock()
	if request.Header.Get("Authorization") != "" {
		plainService.leaks++
	}
	faults := &plainService.faults
	outcome := plainServiceOutcome{delay: faults.Delay, runs: true}
	switch {
	case consumeFault(&faults.FailBefore):
		outcome.runs, outcome.fails = false, true
	case consumeFault(&faults.DropBefore):
		outcome.runs, outcome.drops = false, true
	case consumeFault(&faults.FailAfter):
		outcome.fails = true
	case consumeFault(&faults.DropAnswers):
		outcome.drops = true
	}
	return outcome
}

// consumeFault decrements counter and returns true, or returns false if counter
// is zero.
func consumeFault(counter *int) bool {
	if *counter == 0 {
		return false
	}
	*counter--
	return true
}

func (plainService *PlainService) count(request names.Request) {
	plainService.mu.Lock()
	defer plainService.mu.Unlock()
	plainService.counts[request]++
}

func (plainService *PlainService) serveCounts(writer http.ResponseWriter, _ *http.Request) {
	wire := plainServiceCountsWire{Requests: map[string]int{}, Leaks: plainService.CredentialLeaks()}
	for request, count := range plainService.Counts() {
		wire.Requests[string(request)] = count
	}
	answer, err := json.Marshal(wire)
	writeJSONBody(writer, http.StatusOK, answer, err)
}

func (plainService *PlainService) serveFaults(writer http.ResponseWriter, request *http.Request) {
	plainService.mu.Lock()
	faults := plainService.faults
	plainService.mu.Unlock()
	if request.Method == http.MethodPost {
		body, ok := readBody(writer, request)
		if !ok {
			return
		}
		changed, err := decodePlainServiceFaults(body, faults)
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		faults = changed
		plainService.SetFaults(faults)
	}
	answer, err := encodePlainServiceFaults(faults)
	writeJSONBody(writer, http.StatusOK, answer, err)
}
