package ledger

import (
	"encoding/json"

	"github.com/basilkeel/basilkeel/names"
)

// Record is the entry in the platform's store that names the agent of one engine.
type Record struct {
	// Epoch numbers the agents of the engine, in rising order.
	Epoch int64
	// Holder is the instance that holds the engine with this epoch.
	Holder names.Instance
	// Address is [Config.Address] of the holder.
	Address string
	// Change numbers the writes of the holder.
	Change int64
	// Released reports whether the holder has stopped and sends nothing more.
	Released bool
	// Envelope lists every item that orders of the holder or its predecessors may
	// have made resident.
	Envelope []Weights
}

type recordWire struct {
	Epoch    int64         `json:"epoch"`
	Holder   string        `json:"holder"`
	Address  string        `json:"address,omitempty"`
	Change   int64         `json:"change"`
	Released bool          `json:"released,omitempty"`
	Envelope []weightsWire `json:"envelope"`
}

type weightsWire struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Bytes   int64  `json:"bytes"`
}

// EncodeRecord returns the JSON form of record.
func EncodeRecord(record Record) ([]byte, error) {
	wire := recordWire{
		Epoch: record.Epoch, Holder: string(record.Holder), Address: record.Address,
		Change: record.Change, Released: record.Released,
		Envelope: make([]weightsWire, 0, len(record.Envelope)),
	}
	for _, weights := range record.Envelope {
		wire.Envelope = append(wire.Envelope, weightsWire{
			Model: string(weights.Item.Model), Adapter: string(weights.Item.Adapter), Bytes: weights.Bytes,
		})
	}
	return json.Marshal(wire)
}

// DecodeRecord is the inverse of [EncodeRecord]. It returns a *[RecordError] if
// data is not a valid record.
func DecodeRecord(data []byte) (Record, error) {
	var wire recordWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return Record{}, &RecordError{Cause: err}
	}
	record := Record{
		Epoch: wire.Epoch, Holder: names.Instance(wire.Holder), Address: wire.Address,
		Change: wire.Change, Released: wire.Released,
		Envelope: make([]Weights, 0, len(wire.Envelope)),
	}
	for _, weights := range wire.Envelope {
		item := Item{Model: names.Model(weights.Model), Adapter: names.Adapter(weights.Adapter)}
		record.Envelope = append(record.Envelope, Weights{Item: item, Bytes: weights.Bytes})
	}
	return record, nil
}
