package crash

import (
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/basilkeel/basilkeel/names"
)

// Fingerprint identifies requests with the same account, method, target and body, or a
// part of prompts.
type Fingerprint uint64

// FingerprintOfPart returns the fingerprint of the part of prompts with an ID. It is the
// ID itself if that is a hexadecimal number of 64 bits, so that logs show it.
func FingerprintOfPart(id string) Fingerprint {
	if number, err := strconv.ParseUint(id, 16, 64); err == nil {
		return Fingerprint(number)
	}
	return Fingerprint(xxhash.Sum64String(id))
}

// FingerprintOfParts returns a value that identifies a set of parts, in whatever order.
func FingerprintOfParts(parts []Fingerprint) Fingerprint {
	digest := xxhash.New()
	for _, part := range slices.Sorted(slices.Values(parts)) {
		// Writing to a digest never fails.
		_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(part)))
	}
	return Fingerprint(digest.Sum64())
}

// String returns the fingerprint in hexadecimal digits, as logs show it.
func (fingerprint Fingerprint) String() string { return strconv.FormatUint(uint64(fingerprint), 16) }

// FingerprintOf returns the fingerprint of a request, whose body may be in several pieces.
func FingerprintOf(account names.ClientAccount, method, target string, body ...[]byte) Fingerprint {
	digest := xxhash.New()
	for _, part := range []string{string(account), method, target} {
		// Writing to a digest never fails.
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	for _, piece := range body {
		_, _ = digest.Write(piece)
	}
	return Fingerprint(digest.Sum64())
}
