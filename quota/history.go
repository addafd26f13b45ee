package quota

const (
	// historyResolution is how many steps a portion's capacity is told apart by.
	historyResolution = 64
	// maxHistorySteps bounds a [history].
	maxHistorySteps = 2 * historyResolution
)

// step tells the smallest headroom from one stamp until now.
type step struct {
	stamp int64
	minHeadroom float64
}

// history answers how far a portion's past could have been higher without
// exceeding its capacity. Its steps rise in stamp and in least.
type history struct {
	steps []step
}

// record notes the headroom at stamp, which is not below any earlier stamp. A
// rise by less than grain opens no step of its own: its stamps are answered by
// an earlier step, which is never higher.
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

// refund raises the past since stamp by up to amount and returns by how much.
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

// dropAlternate drops every second step.
func (history *history) dropAlternate() {
	kept := history.steps[:0]
	for i, step := range history.steps {
		if i%2 == 0 {
			kept = append(kept, step)
		}
	}
	history.steps = kept
}

// find returns the last step that is not after stamp, or -1.
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

// lower applies a headroom to every step and merges those that became equal.
func (history *history) lower(headroom float64) {
	for i := range history.steps {
		if history.steps[i].minHeadroom >= headroom {
			history.steps[i].minHeadroom = headroom
			history.steps = history.steps[:i+1]
			return
		}
	}
}
