package copies

import "time"

// windowSlack is how many loads beyond rate and window are begun at most.
const windowSlack = 1

// loadWindow counts loads from the weight store.
type loadWindow struct {
	span   time.Duration
	begins []time.Time
}

func (window *loadWindow) begin(now time.Time) { window.begins = append(window.begins, now) }

// allows tells whether another load keeps the rate over the window.
func (window *loadWindow) allows(perSecond float64, now time.Time) bool {
	kept := window.begins[:0]
	for _, begin := range window.begins {
		if now.Sub(begin) < window.span {
			kept = append(kept, begin)
		}
	}
	window.begins = kept
	return float64(len(kept)) < perSecond*window.span.Seconds()+windowSlack
}
