package rate

import (
	"math"
	"time"
)

// Meter is a rate per second whose past amounts decay with a half-life. It is not safe
// for concurrent use.
type Meter struct {
	halfLife  time.Duration
	perSecond float64
	// updatedAt is the time at which the rate was perSecond.
	updatedAt time.Time
}

// NewMeter returns a meter at zero. An added amount loses half of its weight per
// halfLife.
func NewMeter(halfLife time.Duration) *Meter { return &Meter{halfLife: halfLife} }

// PerSecond returns the rate at now. A time before that of the newest amount counts as
// that time.
func (meter *Meter) PerSecond(now time.Time) float64 {
	if !now.After(meter.updatedAt) {
		return meter.perSecond
	}
	return meter.perSecond * math.Exp2(-now.Sub(meter.updatedAt).Seconds()/meter.halfLife.Seconds())
}

// Add adds an amount at now.
func (meter *Meter) Add(amount float64, now time.Time) {
	meter.perSecond = meter.PerSecond(now) + amount*math.Ln2/meter.halfLife.Seconds()
	if now.After(meter.updatedAt) {
		meter.updatedAt = now
	}
}
