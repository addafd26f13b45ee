package subcmd

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/plat"
	"github.com/basilkeel/basilkeel/stand"
	"github.com/basilkeel/basilkeel/trunk"
)

// engineCommand simulates a model engine.
type engineCommand struct {
	listen       string
	memoryBytes  int64
	step         time.Duration
	maxSequences int
	prefixBytes  int64
	reportLag    time.Duration
	loadTime     time.Duration
	fencing      bool
	exit         bool
	resident     []string
	residentSize int64
	weightsURL   string
}

func (*engineCommand) name() string { return "engine" }

func (*engineCommand) summary() string { return "simulate a model engine" }

func (*engineCommand) help() string {
	return `Engine serves completions with continuous batching, a prefix cache and limited
memory, accepts orders to load and unload, and reports its load. Faults are set
at /faults; /truth shows the actual contents of the memory.`
}

func (command *engineCommand) flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7200", Usage: "address to serve on", Destination: &command.listen},
		&cli.Int64Flag{Name: "memory-bytes", Value: 80 << 30, Usage: "size of the accelerator memory", Destination: &command.memoryBytes},
		&cli.DurationFlag{Name: "step", Value: 5 * time.Millisecond, Usage: "duration of one step of the batch", Destination: &command.step},
		&cli.IntFlag{Name: "max-sequences", Value: 64, Usage: "most sequences in one batch", Destination: &command.maxSequences},
		&cli.Int64Flag{Name: "prefix-bytes", Value: 8 << 30, Usage: "size of the prefix cache", Destination: &command.prefixBytes},
		&cli.DurationFlag{Name: "report-lag", Value: 100 * time.Millisecond, Usage: "age of the state that reports show", Destination: &command.reportLag},
		&cli.DurationFlag{Name: "load-time", Value: time.Second, Usage: "duration of a load, in addition to the weight store's part", Destination: &command.loadTime},
		&cli.BoolFlag{Name: "fencing", Usage: "refuse orders with an old fencing number", Destination: &command.fencing},
		&cli.BoolFlag{Name: "exit", Usage: "exit the process at a crash", Destination: &command.exit},
		&cli.StringSliceFlag{Name: "resident", Usage: "model or model+adapter that is loaded at the start", Destination: &command.resident},
		&cli.Int64Flag{Name: "resident-bytes", Value: 8 << 30, Usage: "size of each model loaded at the start", Destination: &command.residentSize},
		&cli.StringFlag{Name: "weights-url", Usage: "URL of the weight store, such as http://127.0.0.1:7001/weights", Destination: &command.weightsURL},
	}
}

// adapterSizeDivisor is how many times larger a model loaded at the start is than
// an adapter.
const adapterSizeDivisor = 64

func (command *engineCommand) run(ctx context.Context, _ []string) error {
	config := stand.EngineConfig{
		Boot: uuid.NewString(), MemoryBytes: command.memoryBytes, Step: command.step,
		MaxSequences: command.maxSequences, PrefixBytes: command.prefixBytes, ReportLag: command.reportLag,
		LoadTime: command.loadTime, Fencing: command.fencing, Resident: command.residents(),
	}
	if command.exit {
		config.Exit = func() { os.Exit(ExitFailure) }
	}
	if command.weightsURL != "" {
		config.Fetch = command.fetch
	}
	standEngine := stand.NewEngine(config)
	go standEngine.Run(ctx)
	return serveUntilDone(ctx, command.listen, standEngine.Handler())
}

// residents returns the models and adapters that are loaded at the start.
func (command *engineCommand) residents() []engine.Resident {
	residents := make([]engine.Resident, 0, len(command.resident))
	for _, label := range command.resident {
		model, adapter, isAdapter := strings.Cut(label, "+")
		resident := engine.Resident{Model: names.Model(model), Adapter: names.Adapter(adapter), Bytes: command.residentSize}
		if isAdapter {
			resident.Bytes /= adapterSizeDivisor
		}
		residents = append(residents, resident)
	}
	return residents
}

// fetch loads weights from the weight store and returns when they have arrived.
func (command *engineCommand) fetch(ctx context.Context, model names.Model, adapter names.Adapter, _ int64) error {
	body, err := json.Marshal(plat.WeightLoad{Model: string(model), Adapter: string(adapter)})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, command.weightsURL+"/loads", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := trunk.CheckHead(response); err != nil {
		return merry.Prepend(err, "the weight store")
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return merry.Errorf("the weight store answered %s", response.Status)
	}
	return nil
}
