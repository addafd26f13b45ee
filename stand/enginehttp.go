package stand

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/basilkeel/basilkeel/engine"
)

const (
	maxStandBodyBytes  = 8 << 20
	headerContentType  = "Content-Type"
	contentJSON        = "application/json"
	contentEventStream = "text/event-stream"
	engineDone         = "[DONE]"
)

func readStandBody(writer http.ResponseWriter, request *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxStandBodyBytes))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return nil, false
	}
	return body, true
}

func writeStandJSON(writer http.ResponseWriter, status int, body []byte, err error) {
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set(headerContentType, contentJSON)
	writer.WriteHeader(status)
	writer.Write(body)
}

func (standEngine *Engine) serveFaults(writer http.ResponseWriter, request *http.Request) {
	standEngine.mu.Lock()
	faults := standEngine.machine.Faults()
	standEngine.mu.Unlock()
	if request.Method == http.MethodPost {
		body, ok := readStandBody(writer, request)
		if !ok {
			return
		}
		changed, err := decodeEngineFaults(body, faults)
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		faults = changed
		standEngine.SetFaults(faults)
	}
	answer, err := encodeEngineFaults(faults)
	writeStandJSON(writer, http.StatusOK, answer, err)
}

func (standEngine *Engine) serveTruth(writer http.ResponseWriter, _ *http.Request) {
	answer, err := encodeEngineTruth(standEngine.Truth())
	writeStandJSON(writer, http.StatusOK, answer, err)
}

func (standEngine *Engine) serveCrash(writer http.ResponseWriter, _ *http.Request) {
	standEngine.Crash()
	writer.WriteHeader(http.StatusNoContent)
}

func (standEngine *Engine) serveReport(writer http.ResponseWriter, _ *http.Request) {
	standEngine.mu.Lock()
	report := standEngine.machine.Report(standEngine.clock.Now())
	standEngine.mu.Unlock()
	answer, err := engine.EncodeReport(report)
	writeStandJSON(writer, http.StatusOK, answer, err)
}

func (standEngine *Engine) serveCancel(writer http.ResponseWriter, request *http.Request) {
	body, ok := readStandBody(writer, request)
	if !ok {
		return
	}
	cancelled, err := engine.DecodeCancel(body)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	standEngine.mu.Lock()
	standEngine.machine.Cancel(standEngine.clock.Now(), cancelled)
	standEngine.mu.Unlock()
	standEngine.wakeUp()
	writeStandJSON(writer, http.StatusOK, []byte("{}"), nil)
}

func (standEngine *Engine) serveOrder(writer http.ResponseWriter, request *http.Request) {
	body, ok := readStandBody(writer, request)
	if !ok {
		return
	}
	order, err := engine.DecodeOrder(body)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	answered, err := standEngine.takeOrder(order)
	standEngine.wakeUp()
	var fencedError *engine.FencedError
	switch {
	case !answered:
		panic(http.ErrAbortHandler)
	case errors.As(err, &fencedError):
		answer, err := engine.EncodeFenced(fencedError)
		writeStandJSON(writer, http.StatusConflict, answer, err)
	default:
		writeStandJSON(writer, http.StatusAccepted, []byte("{}"), err)
	}
}

// takeOrder carries order out as the faults allow and tells whether to answer.
func (standEngine *Engine) takeOrder(order engine.Order) (bool, error) {
	standEngine.mu.Lock()
	defer standEngine.mu.Unlock()
	now, faults := standEngine.clock.Now(), standEngine.machine.Faults()
	defer func() { standEngine.machine.SetFaults(faults) }()
	late := now.Add(faults.OrderDelay)
	if faults.LoseOrders > 0 {
		faults.LoseOrders--
		return false, nil
	}
	if faults.DelayOrders > 0 {
		faults.DelayOrders--
		standEngine.machine.DelayOrder(late, order)
		return false, nil
	}
	if faults.DoubleOrders > 0 {
		faults.DoubleOrders--
		standEngine.machine.DelayOrder(late, order)
	}
	fetches, err := standEngine.machine.ApplyOrder(now, order)
	standEngine.startFetches(fetches)
	if faults.LoseAnswers > 0 {
		faults.LoseAnswers--
		return false, err
	}
	return true, err
}

// startFetches reads weights in the background; mu is held.
func (standEngine *Engine) startFetches(fetches []EngineFetch) {
	if standEngine.config.Fetch == nil {
		return
	}
	for _, fetch := range fetches {
		go func() {
			err := standEngine.config.Fetch(context.Background(), fetch.Model, fetch.Adapter, fetch.Bytes)
			standEngine.mu.Lock()
			standEngine.machine.FinishFetch(standEngine.clock.Now(), fetch, err)
			standEngine.mu.Unlock()
			standEngine.wakeUp()
		}()
	}
}

func (standEngine *Engine) serveCompletion(writer http.ResponseWriter, request *http.Request) {
	body, ok := readStandBody(writer, request)
	if !ok {
		return
	}
	generation, streamed, err := engine.DecodeGeneration(body)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	stream, err := standEngine.start(generation)
	if err != nil {
		http.Error(writer, err.Error(), engineStatus(err))
		return
	}
	answer := engineAnswer{writer: writer, generation: generation, streamed: streamed}
	for {
		select {
		case <-request.Context().Done():
			standEngine.abandon(generation, stream)
			return
		case <-stream.ready:
		}
		for _, output := range stream.take() {
			if answer.put(output) {
				return
			}
		}
	}
}

func engineStatus(err error) int {
	if errors.Is(err, errEngineDuplicate) {
		return http.StatusConflict
	}
	return http.StatusNotFound
}

func (standEngine *Engine) start(generation engine.Generation) (*engineStream, error) {
	standEngine.mu.Lock()
	defer standEngine.mu.Unlock()
	if err := standEngine.machine.Start(standEngine.clock.Now(), generation); err != nil {
		return nil, err
	}
	stream := newEngineStream()
	standEngine.streams[generation.Request] = stream
	standEngine.wakeUp()
	return stream, nil
}

// abandon ends a generation whose connection is gone.
func (standEngine *Engine) abandon(generation engine.Generation, stream *engineStream) {
	standEngine.mu.Lock()
	defer standEngine.mu.Unlock()
	if standEngine.streams[generation.Request] != stream {
		return
	}
	standEngine.machine.Cancel(standEngine.clock.Now(), generation.Request)
	standEngine.wakeUp()
}

// engineAnswer writes the outputs of one generation as an HTTP answer.
type engineAnswer struct {
	writer     http.ResponseWriter
	generation engine.Generation
	streamed   bool
	begun      bool
	text       []byte
}

// put writes output and tells whether the answer is complete. A generation
// that fails cuts the connection.
func (engineAnswer *engineAnswer) put(output EngineOutput) bool {
	if output.Err != nil {
		panic(http.ErrAbortHandler)
	}
	if !engineAnswer.streamed {
		return engineAnswer.putWhole(output)
	}
	if !engineAnswer.begun {
		engineAnswer.begun = true
		engineAnswer.writer.Header().Set(headerContentType, contentEventStream)
	}
	if output.HasPiece {
		chunk, err := engine.EncodePiece(engineAnswer.generation, output.Piece, output.Done)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		engineAnswer.event(chunk)
	}
	if output.Done {
		engineAnswer.event([]byte(engineDone))
	}
	// A connection that cannot be flushed ends its request's context.
	_ = http.NewResponseController(engineAnswer.writer).Flush()
	return output.Done
}

func (engineAnswer *engineAnswer) event(data []byte) {
	engineAnswer.writer.Write([]byte("data: "))
	engineAnswer.writer.Write(data)
	engineAnswer.writer.Write([]byte("\n\n"))
}

func (engineAnswer *engineAnswer) putWhole(output EngineOutput) bool {
	engineAnswer.text = append(engineAnswer.text, output.Piece.Text...)
	if !output.Done {
		return false
	}
	whole, err := engine.EncodePiece(engineAnswer.generation, engine.Piece{Text: string(engineAnswer.text)}, true)
	writeStandJSON(engineAnswer.writer, http.StatusOK, whole, err)
	return true
}
