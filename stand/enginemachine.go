package stand

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/names"
)

var (
	errEngineNotResident = errors.New("model or adapter is not resident")
	errEngineDuplicate   = errors.New("request is already running")
	errEngineUnloaded    = errors.New("model was unloaded")
	errEngineCrashed     = errors.New("engine crashed")
	errEngineCancelled   = errors.New("generation was cancelled")
)

// EngineOutput is the output of one step for one generation.
type EngineOutput struct {
	Request names.Request
	// Piece is valid if HasPiece is set. It is not set if Err is, nor if the
	// generation has no tokens left to generate.
	Piece    engine.Piece
	HasPiece bool
	// Done reports whether the generation is complete.
	Done bool
	// Err is the reason why the generation ended before it was complete.
	Err error
}

type engineDelayedOrder struct {
	at    time.Time
	order engine.Order
}

type engineSnapshot struct {
	at     time.Time
	report engine.Report
}

// EngineMachine is the state machine of a stand-in engine. It does no I/O and
// takes the time as an argument. It is not safe for concurrent use.
type EngineMachine struct {
	config       EngineConfig
	faults       EngineFaults
	boots        int
	arrivals     int64
	highestFence engine.Fence
	appliedFence engine.Fence
	role         engine.Role
	weights      map[engineWeightsKey]*engineWeights
	sequences    map[names.Request]*engineSequence
	prefixCache  *enginePrefixCache
	delayed      []engineDelayedOrder
	history      []engineSnapshot
	outputs      []EngineOutput
	peakBytes    int64
	violations   int
	crashes      int
	loads        int64
}

// NewEngineMachine returns an engine that boots at now.
func NewEngineMachine(config EngineConfig, now time.Time) *EngineMachine {
	machine := &EngineMachine{config: config.withDefaults()}
	machine.boot(now)
	for _, each := range machine.config.Resident {
		machine.weights[engineWeightsKey{model: each.Model, adapter: each.Adapter}] = &engineWeights{bytes: each.Bytes}
	}
	machine.history = nil
	machine.record(now)
	return machine
}

func (machine *EngineMachine) boot(now time.Time) {
	machine.boots++
	machine.appliedFence = engine.Fence{}
	if machine.config.LoseFenceAtCrash {
		machine.highestFence = engine.Fence{}
	}
	machine.role = engine.RoleMixed
	machine.weights = map[engineWeightsKey]*engineWeights{}
	machine.sequences = map[names.Request]*engineSequence{}
	machine.prefixCache = newEnginePrefixCache(machine.config.PrefixBytes)
	machine.history = nil
	machine.record(now)
}

// SetFaults replaces the injected faults.
func (machine *EngineMachine) SetFaults(faults EngineFaults) { machine.faults = faults }

// Faults returns the injected faults.
func (machine *EngineMachine) Faults() EngineFaults { return machine.faults }

// Boot returns the identifier of the current boot.
func (machine *EngineMachine) Boot() string {
	return fmt.Sprintf("%s-%d", machine.config.Boot, machine.boots)
}

// MemoryBytes returns the size of the accelerator memory.
func (machine *EngineMachine) MemoryBytes() int64 { return machine.config.MemoryBytes }

// PeakBytes returns the highest memory use so far.
func (machine *EngineMachine) PeakBytes() int64 { return machine.peakBytes }

// Violations returns the number of changes and steps after which memory use
// exceeded the size of the memory.
func (machine *EngineMachine) Violations() int { return machine.violations }

// Crashes returns the number of crashes.
func (machine *EngineMachine) Crashes() int { return machine.crashes }

// UsedBytes returns the current memory use, without report lag.
func (machine *EngineMachine) UsedBytes() int64 {
	return machine.unevictableBytes() + machine.prefixCache.bytes
}

// unevictableBytes returns the memory use of weights and running sequences,
// which cannot be evicted.
func (machine *EngineMachine) unevictableBytes() int64 {
	var total int64
	for _, weights := range machine.weights {
		total += weights.bytes
	}
	for _, sequence := range machine.sequences {
		total += sequence.cacheBytes
	}
	return total
}

// Idle reports whether steps change nothing until the next request or order.
func (machine *EngineMachine) Idle() bool {
	if len(machine.sequences) > 0 || len(machine.delayed) > 0 || len(machine.outputs) > 0 {
		return false
	}
	for _, weights := range machine.weights {
		if weights.loading || weights.unloading {
			return false
		}
	}
	return true
}

// record evicts cached prefixes while memory is over its size, then updates the
// memory statistics and appends a report to the history.
func (machine *EngineMachine) record(now time.Time) {
	for machine.UsedBytes() > machine.config.MemoryBytes && machine.prefixCache.evict() > 0 {
		continue
	}
	used := machine.UsedBytes()
	if used > machine.config.MemoryBytes {
		machine.violations++
	}
	machine.peakBytes = max(machine.peakBytes, used)
	machine.history = append(machine.history, engineSnapshot{at: now, report: machine.report(used)})
	machine.trimHistory(now)
}

func (machine *EngineMachine) reportLag() time.Duration {
	if machine.faults.ReportLag != 0 {
		return machine.faults.ReportLag
	}
	return machine.config.ReportLag
}

// trimHistory drops the snapshots before the newest one that is at least as old
// as the report lag.
func (machine *EngineMachine) trimHistory(now time.Time) {
	due := now.Add(-machine.reportLag())
	first := 0
	for i, snapshot := range machine.history {
		if !snapshot.at.After(due) {
			first = i
		}
	}
	machine.history = machine.history[first:]
}

// Report returns the engine's report of its state, delayed by the report lag.
func (machine *EngineMachine) Report(now time.Time) engine.Report {
	machine.trimHistory(now)
	return machine.history[0].report
}

func (machine *EngineMachine) report(used int64) engine.Report {
	report := engine.Report{
		Boot: machine.Boot(), Applied: machine.appliedFence, MemoryBytes: machine.config.MemoryBytes,
		UsedBytes: used, Role: machine.role, Resident: make([]engine.Resident, 0, len(machine.weights)),
	}
	for key, weights := range machine.weights {
		report.Resident = append(report.Resident, engine.Resident{
			Model: key.model, Adapter: key.adapter, Bytes: weights.bytes, Loading: weights.loading,
		})
	}
	sort.Slice(report.Resident, func(i, j int) bool {
		a, b := report.Resident[i], report.Resident[j]
		return a.Model < b.Model || a.Model == b.Model && a.Adapter < b.Adapter
	})
	for _, sequence := range machine.sequences {
		if sequence.running {
			report.Running++
		} else {
			report.Waiting++
		}
	}
	return report
}

// Crash fails every generation, clears the memory and begins a new boot.
func (machine *EngineMachine) Crash(now time.Time) {
	machine.crashes++
	for request := range machine.sequences {
		machine.outputs = append(machine.outputs, EngineOutput{Request: request, Err: errEngineCrashed})
	}
	machine.boot(now)
}

// Start queues a generation.
func (machine *EngineMachine) Start(now time.Time, generation engine.Generation) error {
	if _, running := machine.sequences[generation.Request]; running {
		return errEngineDuplicate
	}
	if !machine.usable(generation.Model, "") || !machine.usable(generation.Model, generation.Adapter) {
		return errEngineNotResident
	}
	machine.arrivals++
	tokens := EngineTokens(generation.Prompt) + int64(generation.Offset)
	machine.sequences[generation.Request] = &engineSequence{
		generation: generation, arrival: machine.arrivals, promptTokens: tokens, nextIndex: generation.Offset,
	}
	machine.record(now)
	return nil
}

func (machine *EngineMachine) usable(model names.Model, adapter names.Adapter) bool {
	weights, found := machine.weights[engineWeightsKey{model: model, adapter: adapter}]
	return found && weights.usable()
}

// Cancel cancels the generation of request, if there is one.
func (machine *EngineMachine) Cancel(now time.Time, request names.Request) {
	if _, running := machine.sequences[request]; !running {
		return
	}
	machine.abort(request, errEngineCancelled)
	machine.record(now)
}

func (machine *EngineMachine) abort(request names.Request, err error) {
	delete(machine.sequences, request)
	machine.outputs = append(machine.outputs, EngineOutput{Request: request, Err: err})
}

// Step runs one step of the batch and returns the outputs since the last step.
func (machine *EngineMachine) Step(now time.Time) []EngineOutput {
	if !machine.faults.Frozen {
		machine.applyDelayed(now)
		machine.finishWeightChanges(now)
		machine.runBatch(now)
		machine.record(now)
	}
	outputs := machine.outputs
	machine.outputs = nil
	return outputs
}

func (machine *EngineMachine) runBatch(now time.Time) {
	batch := machine.batch()
	if machine.hasCrashMarker(batch) {
		machine.Crash(now)
		return
	}
	prefillTokens := machine.config.PrefillTokensPerStep
	for _, sequence := range batch {
		prefillTokens -= machine.runSequence(sequence, prefillTokens)
	}
}

// batch admits waiting sequences by priority and arrival as far as the batch
// has room, and returns the running sequences in that order.
func (machine *EngineMachine) batch() []*engineSequence {
	var running, waiting []*engineSequence
	for _, sequence := range machine.sequences {
		if sequence.running {
			running = append(running, sequence)
		} else {
			waiting = append(waiting, sequence)
		}
	}
	sortSequences(waiting)
	for _, sequence := range waiting {
		if len(running) >= machine.config.MaxSequences {
			break
		}
		machine.admit(sequence)
		running = append(running, sequence)
	}
	sortSequences(running)
	return running
}

func sortSequences(sequences []*engineSequence) {
	sort.Slice(sequences, func(i, j int) bool {
		a, b := sequences[i], sequences[j]
		if a.generation.Priority != b.generation.Priority {
			return a.generation.Priority > b.generation.Priority
		}
		return a.arrival < b.arrival
	})
}

func (machine *EngineMachine) admit(sequence *engineSequence) {
	generation := sequence.generation
	sequence.running = true
	sequence.cacheBytes = sequence.promptTokens * machine.cacheBytesPerToken(generation.Model)
	sequence.prefillTokens = sequence.promptTokens
	if machine.config.PrefixBytes > 0 {
		sequence.blocks = prefixBlocks(string(generation.Model), string(generation.Adapter), generation.Prompt)
		sequence.prefillTokens -= int64(machine.prefixCache.match(sequence.blocks)) * prefixBlockTokens
	}
}

func (machine *EngineMachine) cacheBytesPerToken(model names.Model) int64 {
	if bytes, found := machine.config.ModelCacheBytesPerToken[model]; found {
		return bytes
	}
	return machine.config.CacheBytesPerToken
}

func (machine *EngineMachine) hasCrashMarker(batch []*engineSequence) bool {
	if machine.faults.CrashMarker == "" {
		return false
	}
	for _, sequence := range batch {
		if strings.Contains(sequence.generation.Prompt, machine.faults.CrashMarker) {
			return true
		}
	}
	return false
}

// runSequence advances sequence by one step, with at most prefillTokens prompt
// tokens, and returns the number of prompt tokens processed.
func (machine *EngineMachine) runSequence(sequence *engineSequence, prefillTokens int64) int64 {
	if sequence.prefillTokens > 0 {
		part := min(sequence.prefillTokens, prefillTokens)
		sequence.prefillTokens -= part
		return part
	}
	generation := sequence.generation
	output := EngineOutput{Request: generation.Request}
	if sequence.nextIndex < int(generation.MaxTokens) {
		output.HasPiece = true
		output.Piece = engine.Piece{Index: sequence.nextIndex, Text: engineText(generation, sequence.nextIndex)}
		sequence.nextIndex++
		sequence.cacheBytes += machine.cacheBytesPerToken(generation.Model)
	}
	output.Done = sequence.nextIndex >= int(generation.MaxTokens)
	if output.Done {
		machine.finish(sequence)
	}
	machine.outputs = append(machine.outputs, output)
	return 0
}

func (machine *EngineMachine) finish(sequence *engineSequence) {
	delete(machine.sequences, sequence.generation.Request)
	blockBytes := prefixBlockTokens * machine.cacheBytesPerToken(sequence.generation.Model)
	machine.prefixCache.add(sequence.blocks, blockBytes, machine.config.MemoryBytes-machine.UsedBytes())
}
