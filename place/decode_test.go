package place_test

import (
	"testing"

	"github.com/basilkeel/basilkeel/place"
)

// FuzzDecodePlan checks that any plan that can be decoded can be encoded.
func FuzzDecodePlan(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x08, 0x01, 0x22, 0x02, 0x0a, 0x00})
	f.Fuzz(func(t *testing.T, encoded []byte) {
		plan, err := place.DecodePlan(encoded)
		if err != nil {
			return
		}
		if _, err := place.EncodePlan(plan); err != nil {
			t.Fatalf("decoded plan cannot be encoded: %v", err)
		}
	})
}
