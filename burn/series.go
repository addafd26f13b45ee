package burn

import "time"

// resolution is a length of time slots and the number of slots that are kept.
type resolution struct {
	step  time.Duration
	slots int
}

// resolutions lists the resolutions, finest first: slots of a minute for six
// hours, and slots of an hour for three days.
var resolutions = []resolution{
	{step: time.Minute, slots: 360},
	{step: time.Hour, slots: 72},
}

// slot holds the counts of one step of time.
type slot struct {
	// number is the time of the slot, in steps since the Unix epoch.
	number int64
	counts map[accountKind]*Counts
}

// series is a ring buffer of the counts in one resolution. Memory is bounded by
// the accounts and kinds that were active in each slot.
type series struct {
	resolution resolution
	slots      []slot
}

func newSeries(resolution resolution) *series {
	return &series{resolution: resolution, slots: make([]slot, resolution.slots)}
}

// at returns the counts of key in the slot of a time. It resets the slot if that
// holds an earlier time.
func (series *series) at(now time.Time, key accountKind) *Counts {
	number := now.UnixNano() / int64(series.resolution.step)
	current := &series.slots[number%int64(len(series.slots))]
	if current.number != number || current.counts == nil {
		*current = slot{number: number, counts: make(map[accountKind]*Counts)}
	}
	counts := current.counts[key]
	if counts == nil {
		counts = &Counts{}
		current.counts[key] = counts
	}
	return counts
}

// sum adds the counts of the window that ends at now to into.
func (series *series) sum(now time.Time, window time.Duration, into map[accountKind]*Counts) {
	last := now.UnixNano() / int64(series.resolution.step)
	first := last - int64(window/series.resolution.step) + 1
	for i := range series.slots {
		current := &series.slots[i]
		if current.number < first || current.number > last {
			continue
		}
		for key, counts := range current.counts {
			if into[key] == nil {
				into[key] = &Counts{}
			}
			into[key].merge(counts)
		}
	}
}
