package spool

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
)

// DefaultBufferLines is the default capacity of the buffer, enough for a few
// seconds of a busy entry's log.
const DefaultBufferLines = 4096

// Writer forwards lines to its output in the background. It is safe for
// concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
	quit    chan struct{}
}

// NewWriter returns a writer to out that buffers up to the given number of lines.
func NewWriter(out io.Writer, lines int) *Writer {
	writer := &Writer{out: out, lines: make(chan []byte, lines), done: make(chan struct{}), quit: make(chan struct{})}
	go writer.run()
	return writer
}

// Write buffers one line, or drops it if the buffer is full. It never blocks and
// never fails.
func (writer *Writer) Write(line []byte) (int, error) {
	select {
	case writer.lines <- bytes.Clone(line):
	default:
		writer.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped, or failed to be written to
// the output, since its previous call.
func (writer *Writer) Dropped() int64 { return writer.dropped.Swap(0) }

// Close writes the buffered lines and stops the writer. Lines written later are
// not output.
func (writer *Writer) Close() {
	writer.once.Do(func() { close(writer.quit) })
	<-writer.done
}

func (writer *Writer) run() {
	defer close(writer.done)
	for {
		select {
		case line := <-writer.lines:
			writer.forward(line)
		case <-writer.quit:
			for {
				select {
				case line := <-writer.lines:
					writer.forward(line)
				default:
					return
				}
			}
		}
	}
}

func (writer *Writer) forward(line []byte) {
	if _, err := writer.out.Write(line); err != nil {
		// The log itself has failed, so the error can only be counted.
		writer.dropped.Add(1)
	}
}
