package poison

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

// Digest returns a hash of snapshot, which is equal for trackers with the same
// content. Zero stands for an empty snapshot, or one that can't be encoded.
func Digest(snapshot Snapshot) uint64 {
	if len(snapshot.Crashes) == 0 && len(snapshot.Clearances) == 0 {
		return 0
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(EncodeSnapshot(snapshot))
	if err != nil {
		return 0
	}
	return xxhash.Sum64(encoded)
}
