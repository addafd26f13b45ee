package rate

import (
	"math"
	"time"
)

// Meter is a smoothed rate. It is not safe for concurrent use.
type Meter struct {
	halfLife  time.Duration
	perSecond float64
	at        time.Time
}

// NewMeter returns a meter at zero; an amount loses half of its weight in
// halfLife.
func NewMeter(halfLife time.Duration) *Meter { return &Meter{halfLife: halfLife} }

// PerSecond returns the rate at now.
func (meter *Meter) PerSecond(now time.Time) float64 {
	if !now.After(meter.at) {
		return meter.perSecond
	}
	return meter.perSecond * math.Exp2(-now.Sub(meter.at).Seconds()/meter.halfLife.Seconds())
}

// Add counts an amount at now.
func (meter *Meter) Add(amount float64, now time.Time) {
	meter.perSecond = meter.PerSecond(now) + amount*math.Ln2/meter.halfLife.Seconds()
	if now.After(meter.at) {
		meter.at = now
	}
}
