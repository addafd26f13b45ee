//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// heldModel is a model that an engine holds, with its adapters.
type heldModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// order is the body of an order.
type order struct {
	Opcode       string
	Model        string
	Adapter      string
	Precondition *int64
	Holder       string
	FenceToken   int64
}

// String describes the order for the record.
func (order order) String() string {
	subject := order.Model
	if order.Adapter != "" {
		subject += "/" + order.Adapter
	}
	precondition := "any"
	if order.Precondition != nil {
		precondition = fmt.Sprint(*order.Precondition)
	}
	return fmt.Sprintf("%s %s if seq is %s (holder %s, fence %d)", order.Opcode, subject, precondition, order.Holder, order.FenceToken)
}

const (
	adapterTime = 6 * time.Millisecond
	modelMB     = 34300.0
	adapterMB   = 40.0
	engineMB    = 83000.0
	eventPause  = 58 * time.Millisecond
)

// engine stands in for a model engine.
type engine struct {
	fleet    *fleet
	service  string
	number   int
	address  string
	initial  []string
	slots    int
	loadTime time.Duration
	// events returns how many events the answer to a request has.
	events func(request *http.Request) int
	// late returns whether an order stays unanswered and after what time it is carried out.
	late func(engine *engine, order order) (time.Duration, bool)
	// closes makes the engine close the connection of an order that it leaves unanswered.
	closes bool
	// overfilled is called when an order would exceed the engine's memory or its places for
	// adapters, which crashes it.
	overfilled func(engine *engine, order order, held string)
	downtime   time.Duration
	// mutex guards the fields below.
	mutex    sync.Mutex
	id       string
	alive    bool
	born     int64
	seq      int64
	fence    int64
	busy     bool
	models   []heldModel
	stopping string
	running  map[string]int
	http     *http.Server
}

func (engine *engine) run() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	engine.address = listener.Addr().String()
	engine.id = fmt.Sprintf("i-engine-%02d", engine.number)
	for _, model := range engine.initial {
		engine.models = append(engine.models, heldModel{Name: model, Version: 1, Adapters: []string{}})
	}
	engine.serve(listener)
	return nil
}

// serve begins an incarnation. All but the first hold nothing.
func (engine *engine) serve(listener net.Listener) {
	engine.mutex.Lock()
	engine.alive, engine.born = true, time.Now().UnixMilli()
	engine.seq, engine.fence, engine.busy, engine.stopping, engine.running = 0, 0, false, "", map[string]int{}
	born := engine.born
	engine.http = &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { engine.handle(writer, request, born) })}
	httpServer := engine.http
	engine.mutex.Unlock()
	go func() { _ = httpServer.Serve(listener) }()
	go func() {
		for engine.is(born) {
			engine.register()
			time.Sleep(heartbeat)
		}
	}()
}

// is reports whether the incarnation that started at born still runs.
func (engine *engine) is(born int64) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.alive && engine.born == born
}

// register writes the engine's entry of the registry.
func (engine *engine) register() {
	engine.mutex.Lock()
	document := map[string]any{
		"service": engine.service, "address": engine.address, "zone": "zone-a", "version": "v1", "slots": 48, "state": "ready", "coldLeftMs": 0,
		"stage": "unified", "models": cloneModels(engine.models), "seq": engine.seq, "born": engine.born,
	}
	engine.mutex.Unlock()
	engine.fleet.store.put("servers/"+engine.id, document)
}

func cloneModels(models []heldModel) []heldModel {
	result := []heldModel{}
	for _, model := range models {
		model.Adapters = slices.Clone(model.Adapters)
		result = append(result, model)
	}
	return result
}

// crash ends the incarnation. The next one has the same identifier and address.
func (engine *engine) crash(reason string) {
	engine.mutex.Lock()
	if !engine.alive {
		engine.mutex.Unlock()
		return
	}
	engine.alive = false
	engine.models = nil
	httpServer := engine.http
	engine.mutex.Unlock()
	engine.fleet.record.add("%s crashes: %s", engine.id, reason)
	httpServer.Close()
	time.AfterFunc(engine.downtime, func() {
		for {
			listener, err := net.Listen("tcp", engine.address)
			if err == nil {
				engine.serve(listener)
				engine.fleet.record.add("%s is back, empty", engine.id)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

func (engine *engine) handle(writer http.ResponseWriter, request *http.Request, born int64) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != engine.id {
		writer.Header().Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/report":
		engine.mutex.Lock()
		running := 0
		for _, count := range engine.running {
			running += count
		}
		document := map[string]any{
			"stage": "unified", "models": cloneModels(engine.models), "busy": engine.busy, "seq": engine.seq, "waiting": 0, "running": running,
			"kvUsed": 1000 * running, "kvTotal": 157487, "handles": 0, "born": engine.born,
		}
		engine.mutex.Unlock()
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(document)
	case "/order":
		var received order
		if json.Unmarshal(body, &received) != nil || received.Holder == "" || received.FenceToken == 0 {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		if engine.late != nil {
			if delay, late := engine.late(engine, received); late {
				engine.fleet.record.add("order to %s gets no answer, and is carried out %.1f s later: %v", engine.id, delay.Seconds(), received)
				time.AfterFunc(delay, func() {
					status := engine.carryOut(received)
					engine.fleet.record.add("late order to %s arrives: %v: %d", engine.id, received, status)
				})
				if !engine.closes {
					<-request.Context().Done()
				}
				panic(http.ErrAbortHandler)
			}
		}
		status := engine.carryOut(received)
		engine.fleet.record.add("order to %s: %v: %d", engine.id, received, status)
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		writer.WriteHeader(status)
	case "/healthz":
		writer.Header().Set("X-Instance-Id", engine.id)
	default:
		engine.stream(writer, request, born)
	}
}

// carryOut carries an order out and returns the status that answers it, or zero if the
// engine crashes.
func (engine *engine) carryOut(order order) int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	index := slices.IndexFunc(engine.models, func(model heldModel) bool { return model.Name == order.Model })
	switch {
	case !engine.alive:
		return 0
	case order.FenceToken < engine.fence:
		return http.StatusPreconditionFailed
	case engine.busy || (order.Precondition != nil && *order.Precondition != engine.seq):
		return http.StatusConflict
	}
	engine.fence = order.FenceToken
	unload := order.Opcode == "unload"
	if order.Adapter != "" {
		return engine.carryOutAdapter(order, index, unload)
	}
	switch {
	case unload && index < 0, !unload && index >= 0:
		return http.StatusOK
	case unload:
		engine.seq++
		engine.busy, engine.stopping = true, order.Model
		go engine.finishUnload(order.Model, engine.born)
		return http.StatusAccepted
	}
	used := 0.0
	for _, model := range engine.models {
		used += modelMB + adapterMB*float64(len(model.Adapters))
	}
	if used+modelMB > engineMB {
		engine.exceed(order)
		return 0
	}
	engine.seq++
	engine.busy = true
	born := engine.born
	time.AfterFunc(engine.loadTime, func() {
		engine.mutex.Lock()
		if engine.alive && engine.born == born {
			engine.busy = false
			engine.models = append(engine.models, heldModel{Name: order.Model, Version: 1, Adapters: []string{}})
		}
		engine.mutex.Unlock()
		if engine.is(born) {
			engine.register()
		}
	})
	return http.StatusAccepted
}

// carryOutAdapter carries out an order about an adapter of the model at index. The caller
// holds mutex.
func (engine *engine) carryOutAdapter(order order, index int, unload bool) int {
	if index < 0 {
		return http.StatusBadRequest
	}
	model := &engine.models[index]
	position := slices.Index(model.Adapters, order.Adapter)
	switch {
	case unload && position >= 0:
		engine.seq++
		model.Adapters = slices.Delete(model.Adapters, position, position+1)
		return http.StatusOK
	case unload || position >= 0:
		return http.StatusOK
	}
	held := 0
	for _, each := range engine.models {
		held += len(each.Adapters)
	}
	if held >= engine.slots {
		engine.exceed(order)
		return 0
	}
	engine.seq++
	model.Adapters = append(model.Adapters, order.Adapter)
	return http.StatusAccepted
}

// exceed ends the engine because of an order. The caller holds mutex.
func (engine *engine) exceed(order order) {
	held := []string{}
	for _, model := range engine.models {
		held = append(held, model.Name+"["+strings.Join(model.Adapters, " ")+"]")
	}
	if engine.overfilled != nil {
		engine.overfilled(engine, order, strings.Join(held, ", "))
	}
	go engine.crash(fmt.Sprintf("it holds %s and is ordered to %v", strings.Join(held, ", "), order))
}

// finishUnload drops a model once its runs have ended.
func (engine *engine) finishUnload(model string, born int64) {
	for engine.is(born) {
		engine.mutex.Lock()
		if engine.running[model] == 0 {
			engine.models = slices.DeleteFunc(engine.models, func(held heldModel) bool { return held.Name == model })
			engine.busy, engine.stopping = false, ""
			engine.mutex.Unlock()
			engine.fleet.record.add("%s has unloaded %s", engine.id, model)
			engine.register()
			return
		}
		engine.mutex.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

// stream answers a request with a stream of events.
func (engine *engine) stream(writer http.ResponseWriter, request *http.Request, born int64) {
	name, adapter, _ := strings.Cut(request.Header.Get("X-Model"), "/")
	header := writer.Header()
	header.Set("X-Attempt-Id", request.Header.Get("X-Attempt-Id"))
	engine.mutex.Lock()
	index := slices.IndexFunc(engine.models, func(model heldModel) bool { return model.Name == name })
	status := 0
	switch {
	case index < 0, adapter != "" && !slices.Contains(engine.models[index].Adapters, adapter):
		status = http.StatusMisdirectedRequest
	case engine.stopping == name:
		status = http.StatusServiceUnavailable
	}
	if status != 0 {
		engine.mutex.Unlock()
		header.Set("X-Not-Executed", "1")
		writer.WriteHeader(status)
		return
	}
	engine.running[name]++
	engine.mutex.Unlock()
	defer func() {
		engine.mutex.Lock()
		defer engine.mutex.Unlock()
		if engine.born == born {
			engine.running[name]--
		}
	}()
	header.Set("X-Server-Stamp", engine.id)
	header.Set("Content-Type", "text/event-stream")
	writer.WriteHeader(http.StatusOK)
	for event := range engine.events(request) {
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: piece %d\n\n", event+1, event+1); err != nil {
			return
		}
		_ = http.NewResponseController(writer).Flush()
		select {
		case <-time.After(eventPause):
		case <-request.Context().Done():
			return
		}
	}
}
