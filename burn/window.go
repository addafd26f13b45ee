package burn

import "time"

// Windows returns the time windows of the report, shortest first.
func Windows() []time.Duration {
	return []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}
}

// resolutionIndex returns the index of the finest resolution that covers a
// window.
func resolutionIndex(window time.Duration) int {
	for index, resolution := range resolutions {
		if window <= resolution.step*time.Duration(resolution.slots) {
			return index
		}
	}
	return len(resolutions) - 1
}
