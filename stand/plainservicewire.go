package stand

import "encoding/json"

type plainServiceEchoWire struct {
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
	Request string `json:"request"`
	Account string `json:"account"`
}

type plainServiceCountsWire struct {
	Requests map[string]int `json:"requests"`
	Leaks    int            `json:"leaks"`
}

// plainServiceFaultsWire is the JSON form of [PlainServiceFaults]. Absent fields
// keep their value.
type plainServiceFaultsWire struct {
	DelayMS     *int64 `json:"delayMs,omitempty"`
	FailBefore  *int   `json:"failBefore,omitempty"`
	FailAfter   *int   `json:"failAfter,omitempty"`
	DropBefore  *int   `json:"dropBefore,omitempty"`
	DropAnswers *int   `json:"dropAnswers,omitempty"`
}

func decodePlainServiceFaults(data []byte, faults PlainServiceFaults) (PlainServiceFaults, error) {
	var wire plainServiceFaultsWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return PlainServiceFaults{}, err
	}
	setMillisIfGiven(&faults.Delay, wire.DelayMS)
	setIfGiven(&faults.FailBefore, wire.FailBefore)
	setIfGiven(&faults.FailAfter, wire.FailAfter)
	setIfGiven(&faults.DropBefore, wire.DropBefore)
	setIfGiven(&faults.DropAnswers, wire.DropAnswers)
	return faults, nil
}

func encodePlainServiceFaults(faults PlainServiceFaults) ([]byte, error) {
	delay := faults.Delay.Milliseconds()
	return json.Marshal(plainServiceFaultsWire{
		DelayMS: &delay, FailBefore: &faults.FailBefore, FailAfter: &faults.FailAfter,
		DropBefore: &faults.DropBefore, DropAnswers: &faults.DropAnswers,
	})
}
