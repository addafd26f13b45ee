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

// prefixBytes is how much of a prompt is hashed for cache affinity.
const prefixBytes = 256

// parser reads a completion from a body.
type parser func(body []byte, header http.Header, limit int64) (*completion, error)

func (server *Server) serveText(writer http.ResponseWriter, request *http.Request) {
	server.serveCompletion(writer, request, textForm{}, parseText)
}

func (server *Server) serveChat(writer http.ResponseWriter, request *http.Request) {
	server.serveCompletion(writer, request, chatForm{}, parseChat)
}

func (server *Server) serveCompletion(writer http.ResponseWriter, request *http.Request, form form, parse parser) {
	name := server.begin(writer)
	watch := newStopwatch(server.config.Clock)
	caller, completion, err := server.acceptCompletion(writer, request, parse)
	if err != nil {
		server.refusals.Mark(1)
		writeRefusal(writer, asRefusal(err))
		return
	}
	answer := server.newAnswer(writer, form, completion, watch)
	if err := server.generate(request.Context(), name, caller, completion, answer, watch); err != nil {
		server.refusals.Mark(1)
		answer.fail(asRefusal(err))
	}
}

// newAnswer returns the writer that the caller asked for.
func (server *Server) newAnswer(writer http.ResponseWriter, form form, completion *completion, watch *stopwatch) answerWriter {
	if completion.stream {
		return newStreamWriter(writer, form, completion, watch, server.config.Limits.WriteTimeout)
	}
	return newWholeWriter(writer, form, completion, watch)
}

// acceptCompletion checks the key before it reads the body.
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

// generate runs an accepted completion and answers it, unless it fails.
func (server *Server) generate(ctx context.Context, name names.Request, caller caller, completion *completion, answer answerWriter, watch *stopwatch) (err error) {
	observation := Observation{
		Account: caller.account, Kind: completion.kind, Model: completion.model, Adapter: completion.adapter,
		Asked: completion.promptTokens() + completion.maxTokens,
	}
	defer func() { server.observe(observation, watch, err) }()
	ctx, current, err := server.flights.begin(ctx, caller)
	if err != nil {
		return err
	}
	defer server.flights.end(current)
	reservation, err := server.config.Quota.Reserve(ctx, caller.account, completion.promptTokens()+completion.maxTokens)
	if err != nil {
		return err
	}
	defer func() { reservation.Settle(observation.Tokens) }()
	deadline := server.deadline(completion.wait, completion.kind)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	sink := &countingSink{sink: answer, first: func() { server.flights.mark(current) }}
	end, err := server.dispatcher.run(ctx, completionJob(name, caller, completion, deadline), sink)
	observation.Tokens = charge(completion, sink.pieces, err)
	if err != nil {
		return err
	}
	return answer.finish(end)
}

// charge is what a completion takes from its account: nothing where it is
// certain that it did not run.
func charge(completion *completion, pieces call.Tokens, err error) call.Tokens {
	if err != nil {
		if _, notRun := asRefusal(err).OutcomeOrUnknown().(call.NotRun); notRun {
			return 0
		}
	}
	return completion.promptTokens() + pieces
}

func completionJob(name names.Request, caller caller, completion *completion, deadline time.Time) job {
	fingerprint := poison.FingerprintOf(engine.Generation{
		Account: caller.account, Model: completion.model, Adapter: completion.adapter, Prompt: completion.prompt,
	})
	return job{
		fingerprint: &fingerprint,
		request:     name, account: caller.account, kind: completion.kind,
		deadline: deadline, idempotent: true,
		query: route.Query{
			Target: route.Target{Model: completion.model}, Adapter: completion.adapter,
			Kind: completion.kind, Idempotent: true,
			Prefix: xxhash.Sum64String(completion.prompt[:min(prefixBytes, len(completion.prompt))]),
		},
		work: func(message *wire.ServeRequest, offset int64) {
			message.Work = &wire.ServeRequest_Generate{Generate: &wire.Generate{
				Model: string(completion.model), Adapter: string(completion.adapter),
				Prompt: completion.prompt, PromptTokens: int64(completion.promptTokens()),
				MaxTokens: int64(completion.maxTokens), Offset: offset,
			}}
		},
	}
}

// deadline is when a request ends at the latest.
func (server *Server) deadline(wait time.Duration, kind call.Kind) time.Time {
	if wait == 0 {
		wait = server.config.Limits.RequestTimeout
		if snapshot := server.config.Source.Current(); snapshot != nil && kind == call.KindVerdict {
			if whole := snapshot.Objective(kind).Whole(); whole > 0 {
				wait = whole
			}
		}
	}
	return server.config.Clock.Now().Add(min(wait, server.config.Limits.RequestTimeout))
}

func (server *Server) observe(observation Observation, watch *stopwatch, err error) {
	observation.At = server.config.Clock.Now()
	observation.FirstToken = watch.firstToken
	observation.LargestGap = watch.largestGap
	observation.Whole = watch.elapsed()
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
