package stand

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/basilkeel/basilkeel/engine"
)

const (
	maxBodyBytes           = 8 << 20
	headerContentType      = "Content-Type"
	contentTypeJSON        = "application/json"
	contentTypeEventStream = "text/event-stream"
	streamEndMarker        = "[DONE]"
)

func readBody(writer http.ResponseWriter, request *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return nil, false
	}
	return body, true
}

func writeJSONBody(writer http.ResponseWriter, status int, body []byte, err error) {
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set(headerContentType, contentTypeJSON)
	writer.WriteHeader(status)
	writer.Write(body)
}

func (standEngine *Engine) serveFaults(writer http.ResponseWriter, request *http.Request) {
	standEngine.mu.Lock()
	faults := standEngine.machine.Faults()
	standEngine.mu.Unlock()
	if request.Method == http.MethodPost {
		body, ok := readBody(writer, request)
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
	writeJSONBody(writer, http.StatusOK, answer, err)
}

func (standEngine *Engine) serveTruth(writer http.ResponseWriter, _ *http.Request) {
	answer, err := encodeEngineTruth(standEngine.Truth())
	writeJSONBody(writer, http.StatusOK, answer, err)
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
	writeJSONBody(writer, http.StatusOK, answer, err)
}

func (standEngine *Engine) serveCancel(writer http.ResponseWriter, request *http.Request) {
	body, ok := readBody(writer, request)
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
	writeJSONBody(writer, http.StatusOK, []byte("{}"), nil)
}

func (standEngine *Engine) serveOrder(writer http.ResponseWriter, request *http.Request) {
	body, ok := readBody(writer, request)
	if !ok {
		return
	}
	order, err := engine.DecodeOrder(body)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	answered, err := standEngine.applyOrder(order)
	standEngine.wakeUp()
	var fencedError *engine.FencedError
	switch {
	case !answered:
		panic(http.ErrAbortHandler)
	case errors.As(err, &fencedError):
		answer, err := engine.EncodeFencedError(fencedError)
		writeJSONBody(writer, http.StatusConflict, answer, err)
	default:
		writeJSONBody(writer, http.StatusAccepted, []byte("{}"), err)
	}
}

// applyOrder executes order subject to the faults and reports whether to
// respond.
func (standEngine *Engine) applyOrder(order engine.Order) (bool, error) {
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

// startFetches reads weights in the background. The caller holds mu.
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
	body, ok := readBody(writer, request)
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
		http.Error(writer, err.Error(), engineErrorStatus(err))
		return
	}
	response := engineResponse{writer: writer, generation: generation, streamed: streamed}
	for {
		select {
		case <-request.Context().Done():
			standEngine.abandon(generation, stream)
			return
		case <-stream.ready:
		}
		for _, output := range stream.drain() {
			if response.write(output) {
				return
			}
		}
	}
}

func engineErrorStatus(err error) int {
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

// abandon cancels a generation whose connection has closed.
func (standEngine *Engine) abandon(generation engine.Generation, stream *engineStream) {
	standEngine.mu.Lock()
	defer standEngine.mu.Unlock()
	if standEngine.streams[generation.Request] != stream {
		return
	}
	standEngine.machine.Cancel(standEngine.clock.Now(), generation.Request)
	standEngine.wakeUp()
}

// engineResponse writes the outputs of one generation as an HTTP response.
type engineResponse struct {
	writer     http.ResponseWriter
	generation engine.Generation
	streamed   bool
	started    bool
	text       []byte
}

// write writes output and reports whether the response is complete. It aborts
// the connection if the generation failed.
func (engineResponse *engineResponse) write(output EngineOutput) bool {
	if output.Err != nil {
		panic(http.ErrAbortHandler)
	}
	if !engineResponse.streamed {
		return engineResponse.writeWhole(output)
	}
	if !engineResponse.started {
		engineResponse.started = true
		engineResponse.writer.Header().Set(headerContentType, contentTypeEventStream)
	}
	if output.HasPiece {
		chunk, err := engine.EncodePiece(engineResponse.generation, output.Piece, output.Done)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		engineResponse.writeEvent(chunk)
	}
	if output.Done {
		engineResponse.writeEvent([]byte(streamEndMarker))
	}
	// The error is ignored: a connection that cannot be flushed cancels the
	// request's context.
	_ = http.NewResponseController(engineResponse.writer).Flush()
	return output.Done
}

func (engineResponse *engineResponse) writeEvent(data []byte) {
	engineResponse.writer.Write([]byte("data: "))
	engineResponse.writer.Write(data)
	engineResponse.writer.Write([]byte("\n\n"))
}

func (engineResponse *engineResponse) writeWhole(output EngineOutput) bool {
	engineResponse.text = append(engineResponse.text, output.Piece.Text...)
	if !output.Done {
		return false
	}
	whole, err := engine.EncodePiece(engineResponse.generation, engine.Piece{Text: string(engineResponse.text)}, true)
	writeJSONBody(engineResponse.writer, http.StatusOK, whole, err)
	return true
}
