//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// runnerConfig is the command line of a runner, as JSON.
type runnerConfig struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Born    int64  `json:"born"`
	// WorkMs is how long a whole answer takes.
	WorkMs int `json:"workMs"`
	// Models are those that a model runner holds at its start. It is a plain one without any.
	Models []string `json:"models"`
	// SizesMb are the sizes of all models, AdapterMb that of an adapter.
	SizesMb      map[string]float64 `json:"sizesMb"`
	AdapterMb    float64            `json:"adapterMb"`
	WeightsMb    float64            `json:"weightsMb"`
	AdapterSlots int                `json:"adapterSlots"`
	// LoadMs is how long the load of a model takes.
	LoadMs int `json:"loadMs"`
	// Events and GapMs describe streams.
	Events int `json:"events"`
	GapMs  int `json:"gapMs"`
}

// runner stands in for a runner. It prints a line for each request that it begins to run and for
// each order.
type runner struct {
	config runnerConfig
	mutex  sync.Mutex
	// models and adapters are what it holds, the latter as MODEL/NAME.
	models, adapters []string
	seq, fence       int64
	// running counts the requests that run, by model. busy reports whether an order for a model is
	// under way, loading the model that it loads.
	running map[string]int
	busy    bool
	loading string
}

func serveRunner(text string) error {
	runner := &runner{running: map[string]int{}}
	if err := json.Unmarshal([]byte(text), &runner.config); err != nil {
		return err
	}
	runner.models = slices.Clone(runner.config.Models)
	listener, err := net.Listen("tcp", runner.config.Address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(runner.serve)}
	fmt.Println("up")
	return server.Serve(listener)
}

// crash ends the process as a fault does.
func (runner *runner) crash() {
	_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {}
}

func (runner *runner) serve(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != runner.config.ID {
		header.Set("X-Not-Executed", "1")
		header.Set("X-Instance-Id", runner.config.ID)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case request.URL.Path == "/report":
		runner.report(writer)
	case request.URL.Path == "/order":
		runner.order(writer, request)
	case request.URL.Path == "/healthz":
		header.Set("X-Instance-Id", runner.config.ID)
		writer.WriteHeader(http.StatusOK)
	default:
		runner.run(writer, request)
	}
}

func (runner *runner) run(writer http.ResponseWriter, request *http.Request) {
	header, id := writer.Header(), request.Header.Get("X-Attempt-Id")
	header.Set("X-Attempt-Id", id)
	model := request.Header.Get("X-Model")
	if len(runner.config.SizesMb) > 0 && !runner.begin(model) {
		header.Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer runner.end(model)
	body, _ := io.ReadAll(request.Body)
	fmt.Printf("run %s %s %s %d\n", id, request.Method, request.RequestURI, len(body))
	header.Set("X-Server-Stamp", runner.config.ID+"."+id)
	if runner.config.Events > 0 {
		runner.stream(writer, request, id)
		return
	}
	time.Sleep(time.Duration(runner.config.WorkMs) * time.Millisecond)
	text := "done " + id + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	fmt.Printf("done %s\n", id)
	_, _ = io.WriteString(writer, text)
}

func (runner *runner) stream(writer http.ResponseWriter, request *http.Request, id string) {
	writer.Header().Set("Content-Type", "text/event-stream")
	for number := range runner.config.Events {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(time.Duration(runner.config.GapMs) * time.Millisecond):
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s %d\n\n", number+1, id, number+1); err != nil {
			return
		}
		_ = http.NewResponseController(writer).Flush()
	}
	fmt.Printf("done %s\n", id)
}

// begin counts a request that is about to run, unless its model or adapter is missing.
func (runner *runner) begin(name string) bool {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	model, _, adapted := strings.Cut(name, "/")
	if !slices.Contains(runner.models, model) || (adapted && !slices.Contains(runner.adapters, name)) {
		return false
	}
	runner.running[model]++
	return true
}

func (runner *runner) end(name string) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	model, _, _ := strings.Cut(name, "/")
	runner.running[model]--
}

type resident struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

func residents(models, adapters []string) []resident {
	result := []resident{}
	for _, model := range models {
		each := resident{Name: model, Version: 1, Adapters: []string{}}
		for _, adapter := range adapters {
			if owner, name, _ := strings.Cut(adapter, "/"); owner == model {
				each.Adapters = append(each.Adapters, name+"@1")
			}
		}
		result = append(result, each)
	}
	return result
}

func (runner *runner) report(writer http.ResponseWriter) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	reply(writer, http.StatusOK, map[string]any{
		"born": runner.config.Born, "stage": "unified", "models": residents(runner.models, runner.adapters), "busy": runner.busy, "seq": runner.seq,
		"waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 100000, "handles": 0, "atHand": map[string]any{"inMemory": runner.models, "onDisk": runner.models},
	})
}

// order carries out an order. One that asks for more than the runner has room for crashes it.
func (runner *runner) order(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		Opcode       string `json:"opcode"`
		Model        string `json:"model"`
		Adapter      string `json:"adapter"`
		Precondition *int64 `json:"precondition"`
		Holder       string `json:"holder"`
		FenceToken   int64  `json:"fenceToken"`
	}
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil || body.Holder == "" || body.FenceToken == 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	name := body.Model
	if body.Adapter != "" {
		name += "/" + body.Adapter
	}
	status := runner.carryOut(body.Opcode, body.Model, body.Adapter, body.Precondition, body.FenceToken)
	fmt.Printf("order %s %s %d by %s, fence %d; then %d of %d MB, %d of %d adapters: %s\n", body.Opcode, name, status, body.Holder, body.FenceToken,
		int(runner.usedMb()), int(runner.config.WeightsMb), len(runner.adapters), runner.config.AdapterSlots, strings.Join(slices.Concat(runner.models, []string{"loading:" + runner.loading}, runner.adapters), ","))
	if len(runner.adapters) > runner.config.AdapterSlots || runner.usedMb() > runner.config.WeightsMb {
		fmt.Printf("overfull %s\n", name)
		runner.crash()
	}
	reply(writer, status, map[string]any{})
}

func (runner *runner) usedMb() float64 {
	used := runner.config.AdapterMb*float64(len(runner.adapters)) + runner.config.SizesMb[runner.loading]
	for _, model := range runner.models {
		used += runner.config.SizesMb[model]
	}
	return used
}

// carryOut returns the status of an order. Adapters are there at once. The caller holds mutex.
func (runner *runner) carryOut(opcode, model, adapter string, precondition *int64, fence int64) int {
	name, list := model, &runner.models
	if adapter != "" {
		name, list = model+"/"+adapter, &runner.adapters
	}
	_, known := runner.config.SizesMb[model]
	present := slices.Contains(*list, name)
	switch {
	case fence < runner.fence:
		return http.StatusPreconditionFailed
	case !known, adapter != "" && !slices.Contains(runner.models, model):
		return http.StatusBadRequest
	}
	runner.fence = fence
	switch {
	case runner.busy, precondition != nil && *precondition != runner.seq:
		return http.StatusConflict
	case opcode == "load" && present, opcode == "unload" && !present:
		return http.StatusOK
	}
	runner.seq++
	switch {
	case adapter == "" && opcode == "load":
		runner.busy, runner.loading = true, model
		time.AfterFunc(time.Duration(runner.config.LoadMs)*time.Millisecond, func() {
			runner.mutex.Lock()
			defer runner.mutex.Unlock()
			runner.busy, runner.loading = false, ""
			runner.models = append(runner.models, model)
		})
	case adapter == "":
		runner.busy = true
		go runner.unload(model)
	case opcode == "load":
		runner.adapters = append(runner.adapters, name)
	default:
		runner.adapters = slices.DeleteFunc(runner.adapters, func(other string) bool { return other == name })
		return http.StatusOK
	}
	return http.StatusAccepted
}

// unload drops a model once its requests have ended.
func (runner *runner) unload(model string) {
	for {
		runner.mutex.Lock()
		if runner.running[model] == 0 {
			runner.models = slices.DeleteFunc(runner.models, func(other string) bool { return other == model })
			runner.adapters = slices.DeleteFunc(runner.adapters, func(other string) bool { return strings.HasPrefix(other, model+"/") })
			runner.busy = false
			runner.mutex.Unlock()
			return
		}
		runner.mutex.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}
