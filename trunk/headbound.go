package trunk

import "io"

// headBound bounds what is read of a connection while the head of an answer is
// not whole. It is used by one goroutine at a time.
type headBound struct {
	source  io.Reader
	bounded bool
	left    int
}

func (headBound *headBound) begin() { headBound.bounded, headBound.left = true, mostHeadBytes }

func (headBound *headBound) end() { headBound.bounded = false }

// Read implements [io.Reader]. It fails with a *[HeaderSizeError].
func (headBound *headBound) Read(buffer []byte) (int, error) {
	if !headBound.bounded {
		return headBound.source.Read(buffer)
	}
	if headBound.left <= 0 {
		return 0, &HeaderSizeError{Bytes: mostHeadBytes}
	}
	count, err := headBound.source.Read(buffer[:min(len(buffer), headBound.left)])
	headBound.left -= count
	return count, err
}
