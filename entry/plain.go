package entry

import (
	"context"
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// servicePrefix stands before the name of a plain service in a path.
const servicePrefix = "/svc/"

func (server *Server) servePlain(writer http.ResponseWriter, request *http.Request) {
	name := server.begin(writer)
	watch := newStopwatch(server.config.Clock)
	accepted, err := server.acceptPlain(writer, request)
	if err == nil {
		accepted.request = name
		var answer *Answer
		answer, err = server.runPlain(request.Context(), accepted, watch)
		if err == nil {
			writeAnswer(writer, answer)
			return
		}
	}
	server.refusals.Mark(1)
	writeRefusal(writer, asRefusal(err))
}

// acceptPlain checks the key before it reads the body. On an open route, a key
// that is shown is not looked at, and not forwarded either.
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
	// The route is chosen by the path as the service reads it.
	read := "/" + strings.TrimPrefix(strings.TrimPrefix(request.URL.Path, servicePrefix+string(service)), "/")
	route, known := snapshot.Route(service, request.Method, read)
	accepted := &plainCall{route: route, method: request.Method, path: path}
	if !known || !route.Open() {
		accepted.caller, err = server.admit(request)
		if err != nil {
			return nil, err
		}
	}
	if !known {
		return nil, &call.Refusal{Code: call.CodeNotFound, Message: "no such service or path", Outcome: call.NotRun{}}
	}
	return accepted, server.readPlain(writer, request, accepted)
}

// runPlain runs an accepted call, under a claim where it must not run twice.
func (server *Server) runPlain(ctx context.Context, accepted *plainCall, watch *stopwatch) (answer *Answer, err error) {
	tokens := accepted.route.Tokens()
	observation := Observation{Account: accepted.caller.account, Kind: accepted.route.Kind(), Tokens: tokens}
	defer func() { server.observe(observation, watch, err) }()
	ctx, current, err := server.flights.begin(ctx, accepted.caller)
	if err != nil {
		return nil, err
	}
	defer server.flights.end(current)
	if !accepted.route.Open() {
		reservation, reserveErr := server.config.Quota.Reserve(ctx, accepted.caller.account, tokens)
		if reserveErr != nil {
			return nil, reserveErr
		}
		defer func() { reservation.Settle(plainCharge(tokens, err)) }()
	}
	deadline := server.deadline(accepted.wait, accepted.route.Kind())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	job := plainJob(accepted, deadline)
	if accepted.route.Idempotent() || accepted.idempotencyKey == "" {
		return server.sendPlain(ctx, job, watch)
	}
	return server.claimPlain(ctx, accepted, job, watch)
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

func (server *Server) sendPlain(ctx context.Context, job job, watch *stopwatch) (*Answer, error) {
	collected := &collector{limit: server.config.Limits.AnswerBytes, watch: watch}
	if _, err := server.dispatcher.run(ctx, job, collected); err != nil {
		return nil, err
	}
	return collected.answer(), nil
}

func writeAnswer(writer http.ResponseWriter, answer *Answer) {
	for name, values := range answer.Header {
		for _, value := range values {
			writer.Header().Add(name, value)
		}
	}
	writer.WriteHeader(answer.Status)
	writer.Write(answer.Body)
}
