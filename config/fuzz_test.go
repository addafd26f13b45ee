package config_test

import (
	"bytes"
	"testing"

	"github.com/basilkeel/basilkeel/config"
)

// FuzzDecodeChange decodes arbitrary bytes from an operator. A change that
// decodes must survive encoding and decoding unchanged.
func FuzzDecodeChange(f *testing.F) {
	f.Add([]byte(`{"changeId":"a","expectedVersion":1,"edits":[{"operation":"withdrawKey","name":"k"}]}`))
	f.Add([]byte(`{"changeId":"a","edits":[{"operation":"putAccount","account":{"name":"x","rate":1e400}}]}`))
	f.Add([]byte(`{"edits":[null]}`))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		change, err := config.DecodeChange(encoded)
		if err != nil {
			return
		}
		written := config.EncodeChange(change)
		again, err := config.DecodeChange(written)
		if err != nil {
			t.Fatalf("encoded change %s cannot be decoded: %v", written, err)
		}
		if !bytes.Equal(written, config.EncodeChange(again)) {
			t.Fatalf("encoded change %s differs after a round trip", written)
		}
		// Applying the change must not panic, whatever it contains.
		_, _ = config.Apply(config.NewSnapshot(config.SnapshotConfig{}), config.Record{}, change)
	})
}
