package trunk

import "io"

// headerLimiter is a reader that, while enabled, bounds the bytes that are read from a
// connection. It is enabled until the header of a response is complete. One goroutine
// uses it at a time.
type headerLimiter struct {
	source    io.Reader
	enabled   bool
	remaining int
}

func (headerLimiter *headerLimiter) enable() {
	headerLimiter.enabled, headerLimiter.remaining = true, MaxHeaderBytes
}

func (headerLimiter *headerLimiter) disable() { headerLimiter.enabled = false }

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
	return count, err
}
