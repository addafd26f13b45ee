package poison

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

// Digest returns a number that two books share if they know the same; zero
// means that nothing is known.
func Digest(snapshot Snapshot) uint64 {
	if len(snapshot.Crashes) == 0 && len(snapshot.Excuses) == 0 {
		return 0
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(EncodeSnapshot(snapshot))
	if err != nil {
		return 0
	}
	return xxhash.Sum64(encoded)
}
