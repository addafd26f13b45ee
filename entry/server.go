package entry

import (
	"net/http"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/ident"
	"github.com/basilkeel/basilkeel/names"
)

// Server is the callers' side of an entry.
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

// Handler returns the callers' routes.
func (server *Server) Handler() http.Handler {
	router := mux.NewRouter()
	// Plain services see the path as the caller wrote it.
	router.SkipClean(true)
	router.UseEncodedPath()
	router.HandleFunc("/v1/completions", server.serveText).Methods(http.MethodPost)
	router.HandleFunc("/v1/chat/completions", server.serveChat).Methods(http.MethodPost)
	router.HandleFunc("/v1/models", server.serveModels).Methods(http.MethodGet)
	router.PathPrefix("/svc/{service}").HandlerFunc(server.servePlain)
	router.NotFoundHandler = http.HandlerFunc(serveNotFound)
	router.MethodNotAllowedHandler = http.HandlerFunc(serveMethodNotAllowed)
	return router
}

// RecheckAdmissions cancels the requests whose keys no longer admit them. Call it whenever
// configuration, or its freshness, may have changed.
func (server *Server) RecheckAdmissions() { server.activeRequests.recheck(server.config.Gate) }

// admit returns the caller of a request.
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

// snapshot returns the configuration in force, or a refusal before the first.
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

// requestHeader tells the caller how its request is called in logs.
const requestHeader = "X-Request-Id"

// assignRequestID names a request and tells its caller.
func (server *Server) assignRequestID(writer http.ResponseWriter) names.Request {
	server.requestMeter.Mark(1)
	request := newRequest()
	writer.Header().Set(requestHeader, string(request))
	return request
}

// newRequest returns an identifier that no other request has.
func newRequest() names.Request { return names.Request(uuid.NewString()) }

func serveNotFound(writer http.ResponseWriter, _ *http.Request) {
	writeRefusal(writer, &call.Refusal{Code: call.CodeNotFound, Message: "no such path", Outcome: call.NotRun{}})
}

func serveMethodNotAllowed(writer http.ResponseWriter, _ *http.Request) {
	refusal := &call.Refusal{Code: call.CodeBadRequest, Message: "the path does not take this method", Outcome: call.NotRun{}}
	writeJSON(writer, http.StatusMethodNotAllowed, encodeError(refusal))
}
