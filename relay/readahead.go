package relay

import (
	"sync"

	"github.com/basilkeel/basilkeel/memory"
)

const (
	// aheadPieceBytes is the size of the pieces in which a response is read ahead of a slow
	// caller.
	aheadPieceBytes = 16 << 10
	// maxAheadRatio bounds what is read ahead for one caller, as a fraction of the budget.
	maxAheadRatio = 1.0 / 8
)

// aheadReader reads a server's response. Once its caller has stalled, a goroutine reads the
// response ahead of the caller, as the server cuts off a response that stays unread for some
// seconds.
type aheadReader struct {
	response *responseReader
	exchange *exchange
	// mutex guards the fields below.
	mutex sync.Mutex
	// ahead reports whether the goroutine runs or has run, stopping whether it is to end.
	// done is closed at its end; it is nil if the goroutine has not run.
	ahead    bool
	stopping bool
	done     chan struct{}
	// pieces is what has been read ahead, held what is held for it.
	pieces memory.Pieces
	held   int64
	// err is the error that ended the response.
	err error
	// changed is signalled when something was read or taken.
	changed sync.Cond
}

func (exchange *exchange) newAheadReader(response *responseReader) *aheadReader {
	reader := &aheadReader{response: response, exchange: exchange}
	reader.changed.L = &reader.mutex
	return reader
}

// start begins to read ahead.
func (aheadReader *aheadReader) start() {
	aheadReader.mutex.Lock()
	defer aheadReader.mutex.Unlock()
	if !aheadReader.ahead && !aheadReader.stopping {
		aheadReader.ahead, aheadReader.done = true, make(chan struct{})
		go aheadReader.run()
	}
}

// Read implements [io.Reader].
func (aheadReader *aheadReader) Read(buffer []byte) (int, error) {
	aheadReader.mutex.Lock()
	if !aheadReader.ahead {
		aheadReader.mutex.Unlock()
		return aheadReader.response.Read(buffer)
	}
	defer aheadReader.mutex.Unlock()
	for len(aheadReader.pieces) == 0 && aheadReader.err == nil {
		aheadReader.changed.Wait()
	}
	if len(aheadReader.pieces) == 0 {
		aheadReader.response.recordEnd(aheadReader.err)
		return 0, aheadReader.err
	}
	first := aheadReader.pieces[0]
	count := copy(buffer, first)
	aheadReader.pieces[0] = first[count:]
	if count == len(first) {
		aheadReader.pieces[0] = nil
		aheadReader.pieces = aheadReader.pieces[1:]
		aheadReader.exchange.memory.Release(memory.Stream, aheadPieceBytes, aheadReader.exchange.now())
		aheadReader.held -= aheadPieceBytes
	}
	aheadReader.changed.Broadcast()
	return count, nil
}

// run reads the response until its end, within the budget.
func (aheadReader *aheadReader) run() {
	defer close(aheadReader.done)
	buffer := make([]byte, aheadPieceBytes)
	for aheadReader.awaitRoom() {
		count, err := aheadReader.response.readBytes(buffer)
		aheadReader.append(buffer[:count], err)
		if err != nil {
			return
		}
	}
}

// awaitRoom waits until there is memory for another piece, and holds it. It returns false if
// reading is to stop.
func (aheadReader *aheadReader) awaitRoom() bool {
	limit := int64(maxAheadRatio * float64(aheadReader.exchange.relay.config.Memory.Limit()))
	for {
		aheadReader.mutex.Lock()
		for !aheadReader.stopping && len(aheadReader.pieces) > 0 && aheadReader.held+aheadPieceBytes > limit {
			aheadReader.changed.Wait()
		}
		stopping, empty := aheadReader.stopping, len(aheadReader.pieces) == 0
		aheadReader.mutex.Unlock()
		// A response of which nothing is held is read on in any case, so that requests in
		// progress continue.
		switch {
		case stopping:
			return false
		case aheadReader.exchange.memory.TryHold(memory.Stream, aheadPieceBytes):
			return true
		case empty:
			aheadReader.exchange.memory.Hold(memory.Stream, aheadPieceBytes)
			return true
		}
		aheadReader.exchange.recordMemoryExhausted()
		aheadReader.exchange.relay.endSlowCaller()
		<-aheadReader.exchange.relay.config.Clock.After(memoryPollPeriod)
	}
}

// append adds what was read. It gives back the piece that was held if the last one has room.
func (aheadReader *aheadReader) append(data []byte, err error) {
	aheadReader.mutex.Lock()
	defer aheadReader.mutex.Unlock()
	last := len(aheadReader.pieces) - 1
	switch {
	case len(data) == 0:
		aheadReader.exchange.memory.Release(memory.Stream, aheadPieceBytes, aheadReader.exchange.now())
	case last >= 0 && cap(aheadReader.pieces[last])-len(aheadReader.pieces[last]) >= len(data):
		aheadReader.pieces[last] = append(aheadReader.pieces[last], data...)
		aheadReader.exchange.memory.Release(memory.Stream, aheadPieceBytes, aheadReader.exchange.now())
	default:
		aheadReader.pieces = append(aheadReader.pieces, append(make([]byte, 0, aheadPieceBytes), data...))
		aheadReader.held += aheadPieceBytes
	}
	aheadReader.err = err
	aheadReader.changed.Broadcast()
}

// stop ends reading ahead, which must precede closing the response. It closes the connection
// if the response has not ended.
func (aheadReader *aheadReader) stop() {
	aheadReader.mutex.Lock()
	aheadReader.stopping = true
	running := aheadReader.ahead && aheadReader.err == nil
	started := aheadReader.ahead
	aheadReader.changed.Broadcast()
	aheadReader.mutex.Unlock()
	if running {
		aheadReader.response.Interrupt()
	}
	if started {
		<-aheadReader.done
	}
	aheadReader.exchange.memory.Release(memory.Stream, aheadReader.held, aheadReader.exchange.now())
}
