package trunk

import (
	"bytes"
	"io"
)

// headerLimiter is a reader that, while enabled, bounds and keeps the bytes that are read from
// a connection. It is enabled until the header of a response is complete. One goroutine
// uses it at a time.
type headerLimiter struct {
	source    io.Reader
	enabled   bool
	remaining int
	// received is what has been received since the limiter was enabled.
	received []byte
}

// enable enables the limiter. Of what was read before, buffered is not yet parsed.
func (headerLimiter *headerLimiter) enable(buffered []byte) {
	headerLimiter.enabled, headerLimiter.remaining = true, MaxHeaderBytes
	headerLimiter.received = bytes.Clone(buffered)
}

func (headerLimiter *headerLimiter) disable() {
	headerLimiter.enabled, headerLimiter.received = false, nil
}

// Read implements [io.Reader]. It returns a *[HeaderSizeError] when the limit is
// reached.
func (headerLimiter *headerLimiter) Read(buffer []byte) (int, error) {
	if !headerLimiter.enabled {
		return headerLimiter.source.Read(buffer)
	}
	if headerLimiter.remaining <= 0 {
		return 0, &HeaderSizeError{Bytes: MaxHeaderBytes}
	}
	count, err := headerLimiter.source.Read(buffer[:min(len(buffer), headerLimiter.remaining)])
	headerLimiter.remaining -= count
	headerLimiter.received = append(headerLimiter.received, buffer[:count]...)
	return count, err
}
