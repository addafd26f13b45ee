package relay

import (
	"io"
	"net/http"
	"time"
)

// writeBytes is the most that is written at once. A caller that takes it within
// slowCallerTime is not slow.
const writeBytes = 16 << 10

// interruptedAt is a deadline that has passed.
var interruptedAt = time.Unix(1, 0)

// callerWriter writes a response to its caller and notices when the caller does not read.
type callerWriter struct {
	callerWatch

	controller *http.ResponseController
}

// newCallerWriter returns a writer of the exchange's response; stalled may be nil.
func (exchange *exchange) newCallerWriter(stalled func()) *callerWriter {
	controller := http.NewResponseController(exchange.writer)
	return &callerWriter{controller: controller, callerWatch: callerWatch{
		exchange: exchange, stalled: stalled,
		// An error means that the connection has ended already.
		interrupt: func() { _ = controller.SetWriteDeadline(interruptedAt) },
	}}
}

// Write implements [io.Writer].
func (callerWriter *callerWriter) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		part := data[written:min(len(data), written+writeBytes)]
		count, err := 0, error(nil)
		callerWriter.watch(func() { count, err = callerWriter.exchange.writer.Write(part) })
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
	var err error
	callerWriter.watch(func() {
		if _, err = callerWriter.exchange.writer.Write(data); err == nil {
			err = callerWriter.controller.Flush()
		}
	})
	return err
}

// bodyReader reads a body from a caller and notices when the caller does not send.
type bodyReader struct {
	callerWatch

	source io.Reader
}

// newBodyReader returns a reader of the exchange's body, which source reads.
func (exchange *exchange) newBodyReader(source io.Reader) *bodyReader {
	controller := http.NewResponseController(exchange.writer)
	return &bodyReader{source: source, callerWatch: callerWatch{
		exchange: exchange, interrupt: func() { _ = controller.SetReadDeadline(interruptedAt) },
	}}
}

// Read implements [io.Reader].
func (bodyReader *bodyReader) Read(buffer []byte) (int, error) {
	count, err := 0, error(nil)
	bodyReader.watch(func() { count, err = bodyReader.source.Read(buffer) })
	return count, err
}
