package accept

import "math"

// bodyScanner finds the end of a request's body in bytes that come piece by piece.
type bodyScanner struct {
	// remaining is what is left of the body, or of the present chunk with the line end after it.
	remaining int64
	chunked   bool
	// part is the part of a chunked body that comes next.
	part chunkPart
	// size is the size of the next chunk as far as it is read, sized whether its digits have ended,
	// digits their number. lineBytes is the length of the trailer line that has begun.
	size      int64
	sized     bool
	digits    int
	lineBytes int
}

// chunkPart is a part of a chunked body.
type chunkPart int

const (
	chunkSize chunkPart = iota
	chunkData
	chunkTrailer
	// chunkBroken is what follows a size that is none. Package net/http refuses such bodies.
	chunkBroken
	chunkEnd
)

// maxChunkDigits is the number of hexadecimal digits that a chunk's size may have.
const maxChunkDigits = 15

// ended reports whether nothing of the body is left.
func (bodyScanner *bodyScanner) ended() bool {
	return bodyScanner.remaining == 0 && (!bodyScanner.chunked || bodyScanner.part == chunkEnd)
}

// scan returns how many bytes of data belong to the body.
func (bodyScanner *bodyScanner) scan(data []byte) int {
	read := 0
	for read < len(data) && !bodyScanner.ended() {
		if bodyScanner.remaining > 0 {
			length := min(bodyScanner.remaining, int64(len(data)-read))
			bodyScanner.remaining -= length
			read += int(length)
			continue
		}
		bodyScanner.scanByte(data[read])
		read++
	}
	return read
}

// scanByte reads a byte of a chunked body that is not data.
func (bodyScanner *bodyScanner) scanByte(next byte) {
	switch bodyScanner.part {
	case chunkData:
		// The data has ended, with the line end after it.
		bodyScanner.part, bodyScanner.size, bodyScanner.sized, bodyScanner.digits = chunkSize, 0, false, 0
		bodyScanner.scanSize(next)
	case chunkSize:
		bodyScanner.scanSize(next)
	case chunkTrailer:
		switch {
		case next != '\n':
			if next != '\r' {
				bodyScanner.lineBytes++
			}
		case bodyScanner.lineBytes == 0:
			bodyScanner.part = chunkEnd
		default:
			bodyScanner.lineBytes = 0
		}
	case chunkBroken:
		bodyScanner.remaining = math.MaxInt64
	case chunkEnd:
	}
}

func (bodyScanner *bodyScanner) scanSize(next byte) {
	digit, valid := hexDigit(next)
	switch {
	case next == '\n' && bodyScanner.digits == 0:
		bodyScanner.part = chunkBroken
	case next == '\n' && bodyScanner.size == 0:
		bodyScanner.part, bodyScanner.lineBytes = chunkTrailer, 0
	case next == '\n':
		bodyScanner.part, bodyScanner.remaining = chunkData, bodyScanner.size+int64(len("\r\n"))
	case bodyScanner.sized:
	case valid && bodyScanner.digits < maxChunkDigits:
		bodyScanner.size, bodyScanner.digits = bodyScanner.size<<4|digit, bodyScanner.digits+1
	case next == ';' || next == '\r' || next == ' ' || next == '\t':
		bodyScanner.sized = true
	default:
		bodyScanner.part = chunkBroken
	}
}

func hexDigit(next byte) (int64, bool) {
	switch {
	case '0' <= next && next <= '9':
		return int64(next - '0'), true
	case 'a' <= next|0x20 && next|0x20 <= 'f':
		return int64(next|0x20-'a') + 10, true
	default:
		return 0, false
	}
}
