package node

import (
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/accept"
)

const (
	operatorHeaderTimeout = 5 * time.Second
	operatorReadTimeout   = 20 * time.Second
	operatorWriteTimeout  = 60 * time.Second
)

// health is the state that the probes report.
type health struct {
	ready atomic.Bool
}

// newOperatorRouter returns the routes that every process serves to operators.
func newOperatorRouter(health *health, registry metrics.Registry) *mux.Router {
	router := mux.NewRouter()
	router.HandleFunc("/live", func(writer http.ResponseWriter, _ *http.Request) {
		writer.Write([]byte("live\n"))
	}).Methods(http.MethodGet)
	router.HandleFunc("/ready", func(writer http.ResponseWriter, _ *http.Request) {
		if !health.ready.Load() {
			http.Error(writer, "not ready", http.StatusServiceUnavailable)
			return
		}
		writer.Write([]byte("ready\n"))
	}).Methods(http.MethodGet)
	router.HandleFunc("/version", func(writer http.ResponseWriter, _ *http.Request) {
		writer.Write([]byte(Version() + "\n"))
	}).Methods(http.MethodGet)
	router.HandleFunc("/metrics", func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		writer.WriteHeader(http.StatusOK)
		metrics.WriteJSONOnce(registry, writer)
	}).Methods(http.MethodGet)
	return router
}

// newOperatorServer returns the HTTP server for operators.
func newOperatorServer(handler http.Handler, log logrus.FieldLogger) *http.Server {
	return &http.Server{
		Handler:                      guardHandler(handler, log),
		DisableGeneralOptionsHandler: true,
		ConnState:                    accept.SetState,
		ErrorLog:                     newErrorLog(log),
		MaxHeaderBytes:               accept.DefaultHeadBytes,
		ReadHeaderTimeout:            operatorHeaderTimeout,
		ReadTimeout:                  operatorReadTimeout,
		WriteTimeout:                 operatorWriteTimeout,
	}
}

// Version returns the version of this build.
func Version() string {
	info, known := debug.ReadBuildInfo()
	if !known {
		return "unknown"
	}
	return info.Main.Version + " " + info.GoVersion
}
