package engine

// Compare returns a negative number, zero or a positive number if fence is
// before, equal to or after other.
func (fence Fence) Compare(other Fence) int {
	if fence.Epoch != other.Epoch {
		return compare(fence.Epoch, other.Epoch)
	}
	return compare(fence.Sequence, other.Sequence)
}

func compare(a, b int64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
