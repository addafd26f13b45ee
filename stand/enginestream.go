package stand

import "sync"

// engineStream carries a generation's outputs to its HTTP handler. It is not
// bounded, as a stand-in's batch must not wait for one reader.
type engineStream struct {
	// mu guards outputs.
	mu      sync.Mutex
	outputs []EngineOutput
	// ready holds a value while outputs may be waiting.
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
