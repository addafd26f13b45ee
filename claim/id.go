package claim

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/basilkeel/basilkeel/names"
)

const hashBytes = 16

// ID identifies a claim: a hash of the client account and its idempotency key.
type ID [hashBytes]byte

// NewID returns the identifier of the claim on an account's idempotency key.
func NewID(account names.ClientAccount, idempotencyKey string) ID {
	return ID(hashParts([]byte(account), []byte(idempotencyKey)))
}

// Shard returns the number of the shard, out of count shards, that stores the
// claim.
func (id ID) Shard(count int) int {
	return int(binary.BigEndian.Uint64(id[:]) % uint64(count))
}

// hashParts hashes each part after its length, so that different lists of parts
// never give the same input to the hash.
func hashParts(parts ...[]byte) [hashBytes]byte {
	hash := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	return [hashBytes]byte(hash.Sum(nil)[:hashBytes])
}
