package spool

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
)

// DefaultBufferLines is what the buffer holds: some seconds of a busy entry.
const DefaultBufferLines = 4096

// Writer passes lines on in the background. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
	quit    chan struct{}
}

// NewWriter returns a writer to out that buffers lines.
func NewWriter(out io.Writer, lines int) *Writer {
	writer := &Writer{out: out, lines: make(chan []byte, lines), done: make(chan struct{}), quit: make(chan struct{})}
	go writer.run()
	return writer
}

// Write takes one line. It never waits and never fails.
func (writer *Writer) Write(line []byte) (int, error) {
	select {
	case writer.lines <- bytes.Clone(line):
	default:
		writer.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since it was asked last.
func (writer *Writer) Dropped() int64 { return writer.dropped.Swap(0) }

// Close writes what is buffered. Lines that come later are dropped.
func (writer *Writer) Close() {
	writer.once.Do(func() { close(writer.quit) })
	<-writer.done
}

func (writer *Writer) run() {
	defer close(writer.done)
	for {
		select {
		case line := <-writer.lines:
			writer.pass(line)
		case <-writer.quit:
			for {
				select {
				case line := <-writer.lines:
					writer.pass(line)
				default:
					return
				}
			}
		}
	}
}

func (writer *Writer) pass(line []byte) {
	if _, err := writer.out.Write(line); err != nil {
		// There is nowhere to tell it but in the count of the next line.
		writer.dropped.Add(1)
	}
}
