package route

import "github.com/cespare/xxhash/v2"

// The constants of the SplitMix64 finaliser.
const (
	mixShift1  = 30
	mixFactor1 = 0xbf58476d1ce4e5b9
	mixShift2  = 27
	mixFactor2 = 0x94d049bb133111eb
	mixShift3  = 31
)

// mix combines two hashes with the SplitMix64 finaliser.
func mix(left, right uint64) uint64 {
	value := left ^ (right*mixFactor1 + 1)
	value = (value ^ value>>mixShift1) * mixFactor1
	value = (value ^ value>>mixShift2) * mixFactor2
	return value ^ value>>mixShift3
}

// hashString hashes text; an empty text hashes to zero.
func hashString(text string) uint64 {
	if text == "" {
		return 0
	}
	return xxhash.Sum64String(text)
}
