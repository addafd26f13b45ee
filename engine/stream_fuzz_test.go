package engine

import (
	"bytes"
	"strings"
	"testing"
)

// FuzzReadPieces reads arbitrary streams of a model engine. Pieces are passed on
// in order from the offset on, and a stream is complete only if it contains the
// done event.
func FuzzReadPieces(f *testing.F) {
	f.Add([]byte("data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n"), 0)
	f.Add([]byte("data: {\"choices\":[{\"text\":\"a\"}]}\n\n"), 2)
	f.Add([]byte("data:\n\nevent: x\ndata: [DONE]"), 0)
	f.Fuzz(func(t *testing.T, stream []byte, offset int) {
		if offset < 0 || offset > 1<<20 {
			t.Skip()
		}
		next := offset
		err := readPieces(t.Context(), bytes.NewReader(stream), offset, func(piece Piece) error {
			if piece.Index != next {
				t.Fatalf("received piece %d, expected piece %d", piece.Index, next)
			}
			next++
			return nil
		})
		if err == nil && !strings.Contains(string(stream), eventDone) {
			t.Fatalf("%q is read as a complete stream", stream)
		}
	})
}
