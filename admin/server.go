package admin

import (
	"net/http"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/ident"
)

// PathPrefix begins every path of the API.
const PathPrefix = "/admin/v1/"

const (
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes = 4 << 20
	// defaultHistoryLimit and maxHistoryLimit bound the records in one response.
	defaultHistoryLimit = 50
	maxHistoryLimit     = 1_000
)

// ServerConfig configures a [Server].
type ServerConfig struct {
	Repository *config.Repository
	Publisher  Publisher
	// Quarantines may be nil; the server then has no paths for quarantines.
	Quarantines Quarantines
	Operators   []Operator
	Hasher      *ident.Hasher
	Clock       *clock.Service
	Logger      logrus.FieldLogger
}

// Server handles requests to the administration API. It is safe for concurrent
// use.
type Server struct {
	config    ServerConfig
	operators map[string]Operator
	router    *mux.Router
}

var _ http.Handler = (*Server)(nil)

// route is a method and path of the API with the role that it requires.
type route struct {
	method, path string
	role         Role
	handle       handler
}

// NewServer returns a server.
func NewServer(config ServerConfig) *Server {
	server := &Server{config: config, operators: map[string]Operator{}, router: mux.NewRouter().UseEncodedPath()}
	for _, operator := range config.Operators {
		server.operators[operator.Hash()] = operator
	}
	routes := []route{
		{http.MethodGet, "/admin/v1/configuration", RoleViewer, server.getConfiguration},
		{http.MethodGet, "/admin/v1/changes", RoleViewer, server.getChanges},
		{http.MethodGet, "/admin/v1/standing", RoleViewer, server.getRollout},
		{http.MethodPost, "/admin/v1/changes", RoleEditor, server.postChange},
		{http.MethodPost, "/admin/v1/dryruns", RoleViewer, server.postDryRun},
		{http.MethodPost, "/admin/v1/keys", RoleEditor, server.postKey},
		{http.MethodPost, "/admin/v1/keys/{name}/withdrawal", RoleEditor, server.postWithdrawal},
	}
	if config.Quarantines != nil {
		routes = append(
			routes,
			route{http.MethodGet, "/admin/v1/quarantines", RoleViewer, server.getQuarantines},
			route{http.MethodPost, "/admin/v1/quarantines/{fingerprint}/lift", RoleEditor, server.postLift},
		)
	}
	for _, route := range routes {
		server.router.Path(route.path).Methods(route.method).Handler(server.guard(route.role, route.handle))
	}
	server.router.NotFoundHandler = http.HandlerFunc(notFound)
	server.router.MethodNotAllowedHandler = http.HandlerFunc(methodNotAllowed)
	return server
}

// ServeHTTP implements [http.Handler].
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	server.router.ServeHTTP(writer, request)
}

func notFound(writer http.ResponseWriter, _ *http.Request) {
	writeError(writer, &APIError{Status: http.StatusNotFound, Code: codeNotFound, Message: "no such path"})
}

func methodNotAllowed(writer http.ResponseWriter, _ *http.Request) {
	writeError(writer, &APIError{Status: http.StatusMethodNotAllowed, Code: codeBadRequest, Message: "the path does not take this method"})
}
