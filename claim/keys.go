package claim

import (
	"fmt"
	"strconv"
	"strings"
)

const keyPrefix = "claims/"

// headKey returns the key of a shard's head.
func headKey(shard int) string { return fmt.Sprintf("%s%d/head", keyPrefix, shard) }

// segmentPrefix returns the common prefix of the keys of a shard's segments.
func segmentPrefix(shard int) string { return fmt.Sprintf("%s%d/segments/", keyPrefix, shard) }

// segmentKey returns the key of one segment of a shard.
func segmentKey(shard int, number int64) string {
	return fmt.Sprintf("%s%012d", segmentPrefix(shard), number)
}

// segmentNumber is the inverse of [segmentKey]. It returns false for a key that
// isn't one of a segment of shard.
func segmentNumber(shard int, key string) (int64, bool) {
	digits, ok := strings.CutPrefix(key, segmentPrefix(shard))
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseInt(digits, 10, 64)
	return number, err == nil
}
