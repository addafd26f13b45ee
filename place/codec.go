package place

import (
	"google.golang.org/protobuf/proto"

	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

// EncodePlan returns the encoding of plan in the store.
func EncodePlan(plan *Plan) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(encodePlan(plan, plan.Targets()))
}

// DecodePlan decodes data, as returned by [EncodePlan].
func DecodePlan(data []byte) (*Plan, error) {
	message := &wire.PlacePlan{}
	if err := proto.Unmarshal(data, message); err != nil {
		return nil, &CodecError{Part: "plan", Cause: err}
	}
	targets, err := decodeTargets(message)
	if err != nil {
		return nil, err
	}
	return NewPlan(PlanConfig{Epoch: message.GetEpoch(), Version: Version(message.GetVersion()), Targets: targets}), nil
}

// encodePlan encodes plan with the given targets only. The message lists each
// item once; an assignment is twice the index of its item, plus one if the item
// may be loaded.
func encodePlan(plan *Plan, targets []Target) *wire.PlacePlan {
	message := &wire.PlacePlan{Epoch: plan.Epoch(), Version: int64(plan.Version())}
	indexes := map[ledger.Weights]uint32{}
	for _, target := range targets {
		encoded := &wire.PlaceTarget{Server: string(target.Server), Changed: int64(target.Changed), Role: string(target.Role)}
		for _, assignment := range target.Items {
			index, known := indexes[assignment.Weights]
			if !known {
				index = uint32(len(message.Items))
				indexes[assignment.Weights] = index
				message.Items = append(message.Items, encodeItem(assignment.Weights))
			}
			index *= 2
			if assignment.MayLoad {
				index++
			}
			encoded.Assignments = append(encoded.Assignments, index)
		}
		message.Targets = append(message.Targets, encoded)
	}
	return message
}

func decodeTargets(message *wire.PlacePlan) ([]Target, error) {
	targets := make([]Target, 0, len(message.GetTargets()))
	for _, encoded := range message.GetTargets() {
		target := Target{
			Server: names.BackendServer(encoded.GetServer()), Changed: Version(encoded.GetChanged()),
			Role: engine.Role(encoded.GetRole()),
		}
		for _, index := range encoded.GetAssignments() {
			if int(index/2) >= len(message.GetItems()) {
				return nil, &CodecError{Part: "assignment", Cause: errItemIndex}
			}
			weights := decodeItem(message.GetItems()[index/2])
			target.Items = append(target.Items, Assignment{Weights: weights, MayLoad: index%2 == 1})
		}
		targets = append(targets, target)
	}
	return targets, nil
}

func encodeItem(weights ledger.Weights) *wire.PlaceItem {
	return &wire.PlaceItem{
		Model: string(weights.Item.Model), Adapter: string(weights.Item.Adapter), Bytes: weights.Bytes,
	}
}

func decodeItem(item *wire.PlaceItem) ledger.Weights {
	return ledger.Weights{
		Item:  ledger.Item{Model: names.Model(item.GetModel()), Adapter: names.Adapter(item.GetAdapter())},
		Bytes: item.GetBytes(),
	}
}
