package relay

import (
	"io"
	"time"
)

const (
	// writeBytes is the most that is written at once. A caller that takes it within
	// slowCallerTime is not slow.
	writeBytes = 16 << 10
	// unsentBytes is the length of the longest response whose writing is not watched, as
	// net/http keeps it until its handler returns.
	unsentBytes = 2 << 10
)

// interruptedAt is a deadline that has passed.
var interruptedAt = time.Unix(1, 0)

// callerWriter writes a response to its caller and notices when the caller does not read.
type callerWriter struct {
	callerWatch
}

// newCallerWriter returns a writer of the exchange's response; stalled may be nil.
func (exchange *exchange) newCallerWriter(stalled func()) *callerWriter {
	return &callerWriter{callerWatch: callerWatch{exchange: exchange, stalled: stalled}}
}

// Write implements [io.Writer].
func (callerWriter *callerWriter) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		count, err := callerWriter.writePart(data[written:min(len(data), written+writeBytes)], false)
		written += count
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// writeFlushed writes data and sends it.
func (callerWriter *callerWriter) writeFlushed(data []byte) error {
	if len(data) > writeBytes {
		if _, err := callerWriter.Write(data[:len(data)-writeBytes]); err != nil {
			return err
		}
		data = data[len(data)-writeBytes:]
	}
	_, err := callerWriter.writePart(data, true)
	return err
}

// writePart writes data, and sends it if flushed is set.
func (callerWriter *callerWriter) writePart(data []byte, flushed bool) (int, error) {
	callerWriter.begin()
	defer callerWriter.finish()
	count, err := callerWriter.exchange.writer.Write(data)
	if err == nil && flushed {
		err = callerWriter.exchange.writer.FlushError()
	}
	return count, err
}

// bodyReader reads a body from a caller and notices when the caller does not send.
type bodyReader struct {
	callerWatch

	source io.Reader
}

// newBodyReader returns a reader of the exchange's body, which source reads.
func (exchange *exchange) newBodyReader(source io.Reader) *bodyReader {
	return &bodyReader{source: source, callerWatch: callerWatch{exchange: exchange, reads: true}}
}

// Read implements [io.Reader].
func (bodyReader *bodyReader) Read(buffer []byte) (int, error) {
	bodyReader.begin()
	defer bodyReader.finish()
	return bodyReader.source.Read(buffer)
}
