package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/poison"
	"github.com/basilkeel/basilkeel/route"
	"github.com/basilkeel/basilkeel/wire"
)

// prefixBytes is the length of the prompt prefix that is hashed for cache
// affinity.
const prefixBytes = 256

// parser parses a request body into a completion. The limit bounds its output
// tokens.
type parser func(body []byte, header http.Header, limit int64) (*completion, error)

func (server *Server) serveText(writer http.ResponseWriter, request *http.Request) {
	server.serveCompletion(writer, request, textFormat{}, parseText)
}

func (server *Server) serveChat(writer http.ResponseWriter, request *http.Request) {
	server.serveCompletion(writer, request, chatFormat{}, parseChat)
}

func (server *Server) serveCompletion(writer http.ResponseWriter, request *http.Request, format format, parse parser) {
	requestID := server.assignRequestID(writer)
	stopwatch := newStopwatch(server.config.Clock)
	caller, completion, err := server.acceptCompletion(writer, request, parse)
	if err != nil {
		server.refusalMeter.Mark(1)
		writeRefusal(writer, asRefusal(err))
		return
	}
	completionWriter := server.newCompletionWriter(writer, format, completion, stopwatch)
	if err := server.runCompletion(request.Context(), requestID, caller, completion, completionWriter, stopwatch); err != nil {
		server.refusalMeter.Mark(1)
		completionWriter.fail(asRefusal(err))
	}
}

// newCompletionWriter returns a writer for the kind of response that the caller
// requested, streamed or not.
func (server *Server) newCompletionWriter(writer http.ResponseWriter, format format, completion *completion, stopwatch *stopwatch) completionWriter {
	if completion.stream {
		return newStreamWriter(writer, format, completion, stopwatch, server.config.Limits.WriteTimeout)
	}
	return newJSONWriter(writer, format, completion, stopwatch)
}

// acceptCompletion authenticates and parses a completion request. It checks the
// key before it reads the body.
func (server *Server) acceptCompletion(writer http.ResponseWriter, request *http.Request, parse parser) (caller, *completion, error) {
	caller, err := server.admit(request)
	if err != nil {
		return caller, nil, err
	}
	snapshot, err := server.snapshot()
	if err != nil {
		return caller, nil, err
	}
	body, err := readJSON(writer, request, server.config.Limits.BodyBytes)
	if err != nil {
		return caller, nil, err
	}
	completion, err := parse(body, request.Header, server.config.Limits.OutputTokens)
	if err != nil {
		return caller, nil, err
	}
	return caller, completion, checkModel(snapshot, completion)
}

func checkModel(snapshot *config.Snapshot, completion *completion) error {
	model, ok := snapshot.Model(completion.model)
	if !ok {
		return &call.Refusal{Code: call.CodeNotFound, Message: "no such model: " + string(completion.model), Outcome: call.NotRun{}}
	}
	if completion.adapter == "" {
		return nil
	}
	for _, adapter := range model.Adapters() {
		if adapter.Name() == completion.adapter {
			return nil
		}
	}
	return &call.Refusal{Code: call.CodeNotFound, Message: "no such adapter: " + string(completion.adapter), Outcome: call.NotRun{}}
}

// runCompletion runs an accepted completion and writes its response. If it
// returns an error, its caller has to write the error.
func (server *Server) runCompletion(ctx context.Context, requestID names.Request, caller caller, completion *completion, completionWriter completionWriter, stopwatch *stopwatch) (err error) {
	observation := Observation{
		Account: caller.account, Kind: completion.kind, Model: completion.model, Adapter: completion.adapter,
		MaxTokens: completion.promptTokens() + completion.maxTokens,
	}
	defer func() { server.observe(observation, stopwatch, err) }()
	ctx, activeRequest, err := server.activeRequests.begin(ctx, caller)
	if err != nil {
		return err
	}
	defer server.activeRequests.end(activeRequest)
	reservation, err := server.config.Quota.Reserve(ctx, caller.account, completion.promptTokens()+completion.maxTokens)
	if err != nil {
		return err
	}
	defer func() { reservation.Settle(observation.ChargedTokens) }()
	deadline := server.deadline(completion.timeout, completion.kind)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	sink := &countingSink{sink: completionWriter, onFirst: func() { server.activeRequests.markOutputBegun(activeRequest) }}
	end, err := server.dispatcher.run(ctx, completionJob(requestID, caller, completion, deadline), sink)
	observation.ChargedTokens = completionCharge(completion, sink.pieces, err)
	if err != nil {
		return err
	}
	return completionWriter.finish(end)
}

// completionCharge returns the tokens to charge for a completion: none if it
// certainly did not run, otherwise the prompt and the pieces of output.
func completionCharge(completion *completion, pieces call.Tokens, err error) call.Tokens {
	if err != nil {
		if _, notRun := asRefusal(err).OutcomeOrUnknown().(call.NotRun); notRun {
			return 0
		}
	}
	return completion.promptTokens() + pieces
}

func completionJob(requestID names.Request, caller caller, completion *completion, deadline time.Time) job {
	fingerprint := poison.FingerprintOf(engine.Generation{
		Account: caller.account, Model: completion.model, Adapter: completion.adapter, Prompt: completion.prompt,
	})
	return job{
		fingerprint: &fingerprint,
		request:     requestID, account: caller.account, kind: completion.kind,
		deadline: deadline, idempotent: true,
		query: route.Query{
			Target: route.Target{Model: completion.model}, Adapter: completion.adapter,
			Kind: completion.kind, Idempotent: true,
			Prefix: xxhash.Sum64String(completion.prompt[:min(prefixBytes, len(completion.prompt))]),
		},
		setWork: func(message *wire.ServeRequest, offset int64) {
			message.Work = &wire.ServeRequest_Generate{Generate: &wire.Generate{
				Model: string(completion.model), Adapter: string(completion.adapter),
				Prompt: completion.prompt, PromptTokens: int64(completion.promptTokens()),
				MaxTokens: int64(completion.maxTokens), Offset: offset,
			}}
		},
	}
}

// deadline returns the deadline of a request. The timeout is zero if the caller
// stated none.
func (server *Server) deadline(timeout time.Duration, kind call.Kind) time.Time {
	if timeout == 0 {
		timeout = server.config.Limits.RequestTimeout
		if snapshot := server.config.Source.Current(); snapshot != nil && kind == call.KindVerdict {
			if objective := snapshot.Objective(kind).Whole(); objective > 0 {
				timeout = objective
			}
		}
	}
	return server.config.Clock.Now().Add(min(timeout, server.config.Limits.RequestTimeout))
}

func (server *Server) observe(observation Observation, stopwatch *stopwatch, err error) {
	observation.At = server.config.Clock.Now()
	observation.FirstToken = stopwatch.firstToken
	observation.LargestGap = stopwatch.largestGap
	observation.Duration = stopwatch.elapsed()
	if err != nil {
		observation.Refusal = asRefusal(err)
	}
	server.config.Observer.Observe(observation)
}

func (server *Server) serveModels(writer http.ResponseWriter, request *http.Request) {
	if _, err := server.admit(request); err != nil {
		writeRefusal(writer, asRefusal(err))
		return
	}
	snapshot, err := server.snapshot()
	if err != nil {
		writeRefusal(writer, asRefusal(err))
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, model := range snapshot.Models() {
		list.add(string(model.Name()))
		for _, adapter := range model.Adapters() {
			list.add(strings.Join([]string{string(model.Name()), string(adapter.Name())}, adapterSeparator))
		}
	}
	writeJSON(writer, http.StatusOK, list)
}
