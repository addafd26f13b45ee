package stand

import "sync"

// engineStream is an unbounded queue of a generation's outputs for its HTTP
// handler. It is unbounded so that a slow reader does not block the batch.
type engineStream struct {
	// mu guards outputs.
	mu      sync.Mutex
	outputs []EngineOutput
	// ready holds a value if outputs may be queued.
	ready chan struct{}
}

func newEngineStream() *engineStream { return &engineStream{ready: make(chan struct{}, 1)} }

func (engineStream *engineStream) push(output EngineOutput) {
	engineStream.mu.Lock()
	engineStream.outputs = append(engineStream.outputs, output)
	engineStream.mu.Unlock()
	select {
	case engineStream.ready <- struct{}{}:
	default:
	}
}

func (engineStream *engineStream) drain() []EngineOutput {
	engineStream.mu.Lock()
	defer engineStream.mu.Unlock()
	outputs := engineStream.outputs
	engineStream.outputs = nil
	return outputs
}
