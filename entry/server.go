package entry

import (
	"fmt"
	"net/http"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/ident"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/reply"
)

// Server serves the HTTP API of an entry for callers.
type Server struct {
	config         Config
	dispatcher     *dispatcher
	activeRequests *activeRequests
	requestMeter   metrics.Meter
	refusalMeter   metrics.Meter
}

// NewServer returns a server for callers.
func NewServer(config Config) *Server {
	return &Server{
		config:         config,
		dispatcher:     newDispatcher(config),
		activeRequests: newActiveRequests(config.Limits.RequestsPerAccount),
		requestMeter:   metrics.GetOrRegisterMeter("entry.requests", config.Metrics),
		refusalMeter:   metrics.GetOrRegisterMeter("entry.refusals", config.Metrics),
	}
}

// Handler returns the HTTP handler for callers.
func (server *Server) Handler() http.Handler {
	router := mux.NewRouter()
	// Paths are forwarded to plain services as the caller wrote them.
	router.SkipClean(true)
	router.UseEncodedPath()
	router.HandleFunc("/v1/completions", server.serveText).Methods(http.MethodPost)
	router.HandleFunc("/v1/chat/completions", server.serveChat).Methods(http.MethodPost)
	router.HandleFunc("/v1/models", server.serveModels).Methods(http.MethodGet)
	router.PathPrefix("/svc/{service}").HandlerFunc(server.servePlain)
	router.NotFoundHandler = http.HandlerFunc(serveNotFound)
	router.MethodNotAllowedHandler = http.HandlerFunc(serveMethodNotAllowed)
	return reply.Guard(router, func(fault any, stack []byte) {
		event.HandlerPanicked.Log(server.config.Log, map[string]any{"cause": fmt.Sprint(fault), "stack": string(stack)})
	})
}

// RecheckAdmissions cancels the requests whose keys no longer admit them. It is
// to be called whenever the configuration or its freshness may have changed.
func (server *Server) RecheckAdmissions() { server.activeRequests.recheck(server.config.Gate) }

// admit authenticates the caller of a request. Its error is a *call.Refusal.
func (server *Server) admit(request *http.Request) (caller, error) {
	secret, err := ident.SecretFromHeader(request.Header)
	if err != nil {
		return caller{}, err
	}
	admission, err := server.config.Gate.Admit(secret)
	if err != nil {
		return caller{}, err
	}
	return caller{account: admission.Account().Name(), admission: admission, hasKey: true}, nil
}

// snapshot returns the current configuration, or a refusal if none has been
// received yet.
func (server *Server) snapshot() (*config.Snapshot, error) {
	snapshot := server.config.Source.Current()
	if snapshot == nil {
		return nil, &call.Refusal{
			Code: call.CodeUnavailable, Message: "no configuration has been received yet",
			Outcome: call.NotRun{}, RetryAfter: noConfigRetryAfter,
		}
	}
	return snapshot, nil
}

// requestHeader is the response header with the request's identifier in logs.
const requestHeader = "X-Request-Id"

// assignRequestID returns a new request identifier and sets it as a response
// header.
func (server *Server) assignRequestID(writer http.ResponseWriter) names.Request {
	server.requestMeter.Mark(1)
	request := newRequest()
	writer.Header().Set(requestHeader, string(request))
	return request
}

// newRequest returns a unique request identifier.
func newRequest() names.Request { return names.Request(uuid.NewString()) }

func serveNotFound(writer http.ResponseWriter, _ *http.Request) {
	writeRefusal(writer, &call.Refusal{Code: call.CodeNotFound, Message: "no such path", Outcome: call.NotRun{}})
}

func serveMethodNotAllowed(writer http.ResponseWriter, _ *http.Request) {
	refusal := &call.Refusal{Code: call.CodeBadRequest, Message: "the path does not take this method", Outcome: call.NotRun{}}
	writeJSON(writer, http.StatusMethodNotAllowed, encodeError(refusal))
}
