package quota

const (
	// historyResolution is the number of steps that a portion's capacity is
	// divided into.
	historyResolution = 64
	// maxHistorySteps bounds the steps of a [history].
	maxHistorySteps = 2 * historyResolution
)

// step holds the smallest headroom since a stamp.
type step struct {
	stamp       int64
	minHeadroom float64
}

// history records how much higher a portion's past levels could have been
// without exceeding its capacity. It bounds refunds: tokens that were reserved
// and not used are restored only as far as the bucket could have kept them. The
// steps increase in stamp and in minHeadroom.
type history struct {
	steps []step
}

// record adds the headroom at stamp, which must not be below an earlier stamp.
// A rise of at most grain adds no step; for its stamps find returns an earlier
// step, whose headroom is never higher.
func (history *history) record(stamp int64, headroom, grain float64) {
	history.lower(headroom)
	count := len(history.steps)
	if count > 0 && (headroom <= history.steps[count-1].minHeadroom+grain || history.steps[count-1].stamp == stamp) {
		return
	}
	if count == maxHistorySteps {
		history.dropAlternate()
	}
	history.steps = append(history.steps, step{stamp: stamp, minHeadroom: headroom})
}

// refund raises the levels since stamp by up to amount and returns by how much.
func (history *history) refund(stamp int64, amount float64) float64 {
	first := history.find(stamp)
	if first < 0 {
		return 0
	}
	refunded := min(amount, history.steps[first].minHeadroom)
	if refunded <= 0 {
		return 0
	}
	for i := first; i < len(history.steps); i++ {
		history.steps[i].minHeadroom -= refunded
	}
	least := history.steps[first].minHeadroom
	for i := range first {
		history.steps[i].minHeadroom = min(history.steps[i].minHeadroom, least)
	}
	return refunded
}

// dropAlternate removes every second step.
func (history *history) dropAlternate() {
	kept := history.steps[:0]
	for i, step := range history.steps {
		if i%2 == 0 {
			kept = append(kept, step)
		}
	}
	history.steps = kept
}

// find returns the index of the last step that is not after stamp, or -1.
func (history *history) find(stamp int64) int {
	found := -1
	for i := range history.steps {
		if history.steps[i].stamp > stamp {
			break
		}
		found = i
	}
	return found
}

// lower caps the headroom of every step and merges the steps that become equal.
func (history *history) lower(headroom float64) {
	for i := range history.steps {
		if history.steps[i].minHeadroom >= headroom {
			history.steps[i].minHeadroom = headroom
			history.steps = history.steps[:i+1]
			return
		}
	}
}
