package stand

import (
	"encoding/json"
	"time"
)

// engineFaultsWire is the JSON form of [EngineFaults], with durations in
// milliseconds. Absent fields keep their value.
type engineFaultsWire struct {
	CrashMarker  *string `json:"crashMarker,omitempty"`
	Frozen       *bool   `json:"frozen,omitempty"`
	SlowFactor   *int    `json:"slowFactor,omitempty"`
	ReportLagMS  *int64  `json:"reportLagMs,omitempty"`
	OrderDelayMS *int64  `json:"orderDelayMs,omitempty"`
	LoseOrders   *int    `json:"loseOrders,omitempty"`
	DelayOrders  *int    `json:"delayOrders,omitempty"`
	DoubleOrders *int    `json:"doubleOrders,omitempty"`
	LoseAnswers  *int    `json:"loseAnswers,omitempty"`
}

type engineTruthWire struct {
	Boot        string `json:"boot"`
	MemoryBytes int64  `json:"memoryBytes"`
	UsedBytes   int64  `json:"usedBytes"`
	PeakBytes   int64  `json:"peakBytes"`
	Violations  int    `json:"violations"`
	Crashes     int    `json:"crashes"`
}

// decodeEngineFaults returns faults with the fields that data holds replaced.
func decodeEngineFaults(data []byte, faults EngineFaults) (EngineFaults, error) {
	var wire engineFaultsWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return EngineFaults{}, err
	}
	setIfGiven(&faults.CrashMarker, wire.CrashMarker)
	setIfGiven(&faults.Frozen, wire.Frozen)
	setIfGiven(&faults.SlowFactor, wire.SlowFactor)
	setIfGiven(&faults.LoseOrders, wire.LoseOrders)
	setIfGiven(&faults.DelayOrders, wire.DelayOrders)
	setIfGiven(&faults.DoubleOrders, wire.DoubleOrders)
	setIfGiven(&faults.LoseAnswers, wire.LoseAnswers)
	setMillisIfGiven(&faults.ReportLag, wire.ReportLagMS)
	setMillisIfGiven(&faults.OrderDelay, wire.OrderDelayMS)
	return faults, nil
}

func encodeEngineFaults(faults EngineFaults) ([]byte, error) {
	reportLag, orderDelay := faults.ReportLag.Milliseconds(), faults.OrderDelay.Milliseconds()
	return json.Marshal(engineFaultsWire{
		CrashMarker: &faults.CrashMarker, Frozen: &faults.Frozen, SlowFactor: &faults.SlowFactor,
		ReportLagMS: &reportLag, OrderDelayMS: &orderDelay, LoseOrders: &faults.LoseOrders,
		DelayOrders: &faults.DelayOrders, DoubleOrders: &faults.DoubleOrders, LoseAnswers: &faults.LoseAnswers,
	})
}

func encodeEngineTruth(truth EngineTruth) ([]byte, error) {
	return json.Marshal(engineTruthWire(truth))
}

func setIfGiven[Value any](target, given *Value) {
	if given != nil {
		*target = *given
	}
}

func setMillisIfGiven(target *time.Duration, given *int64) {
	if given != nil {
		*target = time.Duration(*given) * time.Millisecond
	}
}
