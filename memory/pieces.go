package memory

const (
	// firstPieceBytes is the size of the first piece of a text whose length is unknown or
	// which may not arrive. Most bodies fit into one piece.
	firstPieceBytes = 4 << 10
	// MaxPieceBytes is the size of the largest piece.
	MaxPieceBytes = 64 << 10
)

// Pieces is a text in several parts. Unlike one growing slice it is never copied, so that it
// takes no more memory than its length.
type Pieces [][]byte

// Len returns the length of the text.
func (pieces Pieces) Len() int {
	length := 0
	for _, piece := range pieces {
		length += len(piece)
	}
	return length
}

// NextPieceBytes returns the size of the piece that is read after read bytes of a text:
// at first a small one, then ones that double the text, up to MaxPieceBytes.
func NextPieceBytes(read int64) int64 {
	return min(max(read, firstPieceBytes), MaxPieceBytes)
}
