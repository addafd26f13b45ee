package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/gorilla/mux"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// servicePrefix precedes the name of a plain service in a path.
const servicePrefix = "/svc/"

func (server *Server) servePlain(writer http.ResponseWriter, request *http.Request) {
	requestID := server.assignRequestID(writer)
	stopwatch := newStopwatch(server.config.Clock)
	plainCall, err := server.acceptPlain(writer, request)
	if err == nil {
		plainCall.request = requestID
		var plainResponse *plainResponse
		plainResponse, err = server.runPlain(request.Context(), plainCall, stopwatch)
		if err == nil {
			writePlainResponse(writer, plainResponse)
			return
		}
	}
	server.refusalMeter.Mark(1)
	writeRefusal(writer, asRefusal(err))
}

// acceptPlain authenticates and reads a call on a plain service. It checks the
// key before it reads the body. On an open route it does not check a key that
// the caller sends, and does not forward it either.
func (server *Server) acceptPlain(writer http.ResponseWriter, request *http.Request) (*plainCall, error) {
	snapshot, err := server.snapshot()
	if err != nil {
		return nil, err
	}
	service := names.Service(mux.Vars(request)["service"])
	path := strings.TrimPrefix(request.URL.EscapedPath(), servicePrefix+string(service))
	if path == "" {
		path = "/"
	}
	if err := checkPath(path); err != nil {
		return nil, err
	}
	// The route is matched against the decoded path, as the service sees it.
	decodedPath := "/" + strings.TrimPrefix(strings.TrimPrefix(request.URL.Path, servicePrefix+string(service)), "/")
	route, known := snapshot.Route(service, request.Method, decodedPath)
	plainCall := &plainCall{route: route, method: request.Method, path: path}
	if !known || !route.Open() {
		plainCall.caller, err = server.admit(request)
		if err != nil {
			return nil, err
		}
	}
	if !known {
		return nil, &call.Refusal{Code: call.CodeNotFound, Message: "no such service or path", Outcome: call.NotRun{}}
	}
	return plainCall, server.readPlain(writer, request, plainCall)
}

// runPlain runs an accepted call. It uses a claim if the call must not run
// twice and has an idempotency key.
func (server *Server) runPlain(ctx context.Context, plainCall *plainCall, stopwatch *stopwatch) (plainResponse *plainResponse, err error) {
	tokens := plainCall.route.Tokens()
	observation := Observation{Account: plainCall.caller.account, Kind: plainCall.route.Kind(), ChargedTokens: tokens}
	defer func() { server.observe(observation, stopwatch, err) }()
	ctx, activeRequest, err := server.activeRequests.begin(ctx, plainCall.caller)
	if err != nil {
		return nil, err
	}
	defer server.activeRequests.end(activeRequest)
	if !plainCall.route.Open() {
		reservation, reserveErr := server.config.Quota.Reserve(ctx, plainCall.caller.account, tokens)
		if reserveErr != nil {
			return nil, reserveErr
		}
		defer func() { reservation.Settle(plainCharge(tokens, err)) }()
	}
	deadline := server.deadline(plainCall.timeout, plainCall.route.Kind())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	job := plainJob(plainCall, deadline)
	if plainCall.route.Idempotent() || plainCall.idempotencyKey == "" {
		return server.sendPlain(ctx, job, stopwatch)
	}
	return server.claimPlain(ctx, plainCall, job, stopwatch)
}

func plainCharge(tokens call.Tokens, err error) call.Tokens {
	if err == nil {
		return tokens
	}
	if _, notRun := asRefusal(err).OutcomeOrUnknown().(call.NotRun); notRun {
		return 0
	}
	return tokens
}

func (server *Server) sendPlain(ctx context.Context, job job, stopwatch *stopwatch) (*plainResponse, error) {
	responseCollector := &responseCollector{limit: server.config.Limits.AnswerBytes, stopwatch: stopwatch}
	if _, err := server.dispatcher.run(ctx, job, responseCollector); err != nil {
		return nil, err
	}
	return responseCollector.response(), nil
}

func writePlainResponse(writer http.ResponseWriter, plainResponse *plainResponse) {
	for name, values := range plainResponse.Header {
		for _, value := range values {
			writer.Header().Add(name, value)
		}
	}
	// Without a length, a response that is cut would look complete in HTTP/1.0. The
	// response to HEAD has no body, and its length is that of another one.
	if len(plainResponse.Body) > 0 {
		writer.Header().Set("Content-Length", strconv.Itoa(len(plainResponse.Body)))
	}
	writer.WriteHeader(plainResponse.Status)
	writer.Write(plainResponse.Body)
}
