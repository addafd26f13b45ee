package engine

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

const (
	actionLoadModel     = "loadModel"
	actionUnloadModel   = "unloadModel"
	actionLoadAdapter   = "loadAdapter"
	actionUnloadAdapter = "unloadAdapter"
	actionChangeRole    = "changeRole"
)

const (
	completionObject = "text_completion"
	finishLength     = "length"
)

var (
	errNegative  = errors.New("a number is negative")
	errNoRequest = errors.New("requestId is missing")
	errNoModel   = errors.New("model is missing")
	errNoChoice  = errors.New("choices are empty")
)

// EncodeOrder returns the JSON form of order.
func EncodeOrder(order Order) ([]byte, error) {
	wire := orderWire{Fence: fenceWire(order.Fence)}
	switch action := order.Action.(type) {
	case LoadModel:
		wire.Action, wire.Model, wire.Bytes = actionLoadModel, string(action.Model), action.Bytes
	case UnloadModel:
		wire.Action, wire.Model = actionUnloadModel, string(action.Model)
	case LoadAdapter:
		wire.Action, wire.Model, wire.Bytes = actionLoadAdapter, string(action.Model), action.Bytes
		wire.Adapter = string(action.Adapter)
	case UnloadAdapter:
		wire.Action, wire.Model = actionUnloadAdapter, string(action.Model)
		wire.Adapter = string(action.Adapter)
	case ChangeRole:
		wire.Action, wire.Role = actionChangeRole, string(action.Role)
	}
	return json.Marshal(wire)
}

// DecodeOrder is the inverse of [EncodeOrder]. It returns a *[CodecError] for
// anything that is not an order.
func DecodeOrder(data []byte) (Order, error) {
	var wire orderWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return Order{}, &CodecError{Message: "order", Cause: err}
	}
	if wire.Bytes < 0 {
		return Order{}, &CodecError{Message: "order", Cause: errNegative}
	}
	action, err := decodeAction(wire)
	if err != nil {
		return Order{}, &CodecError{Message: "order", Cause: err}
	}
	return Order{Fence: Fence(wire.Fence), Action: action}, nil
}

func decodeAction(wire orderWire) (Action, error) {
	model, adapter := names.Model(wire.Model), names.Adapter(wire.Adapter)
	switch wire.Action {
	case actionLoadModel:
		return LoadModel{Model: model, Bytes: wire.Bytes}, nil
	case actionUnloadModel:
		return UnloadModel{Model: model}, nil
	case actionLoadAdapter:
		return LoadAdapter{Model: model, Adapter: adapter, Bytes: wire.Bytes}, nil
	case actionUnloadAdapter:
		return UnloadAdapter{Model: model, Adapter: adapter}, nil
	case actionChangeRole:
		return ChangeRole{Role: Role(wire.Role)}, nil
	default:
		return nil, fmt.Errorf("unknown action %q", wire.Action)
	}
}

// EncodeReport returns the JSON form of report.
func EncodeReport(report Report) ([]byte, error) {
	wire := reportWire{
		Boot: report.Boot, Applied: fenceWire(report.Applied),
		MemoryBytes: report.MemoryBytes, UsedBytes: report.UsedBytes,
		Resident: make([]residentWire, 0, len(report.Resident)),
		Running:  report.Running, Waiting: report.Waiting, Role: string(report.Role),
	}
	for _, each := range report.Resident {
		wire.Resident = append(wire.Resident, residentWire{
			Model: string(each.Model), Adapter: string(each.Adapter), Bytes: each.Bytes, Loading: each.Loading,
		})
	}
	return json.Marshal(wire)
}

// DecodeReport is the inverse of [EncodeReport]. It returns a *[CodecError]
// for anything that is not a report.
func DecodeReport(data []byte) (Report, error) {
	var wire reportWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return Report{}, &CodecError{Message: "report", Cause: err}
	}
	report := Report{
		Boot: wire.Boot, Applied: Fence(wire.Applied),
		MemoryBytes: wire.MemoryBytes, UsedBytes: wire.UsedBytes,
		Resident: make([]Resident, 0, len(wire.Resident)),
		Running:  wire.Running, Waiting: wire.Waiting, Role: Role(wire.Role),
	}
	for _, each := range wire.Resident {
		if each.Bytes < 0 {
			return Report{}, &CodecError{Message: "report", Cause: errNegative}
		}
		report.Resident = append(report.Resident, Resident{
			Model: names.Model(each.Model), Adapter: names.Adapter(each.Adapter),
			Bytes: each.Bytes, Loading: each.Loading,
		})
	}
	return report, nil
}

// EncodeGeneration returns the JSON form of a streamed generation.
func EncodeGeneration(generation Generation) ([]byte, error) {
	return json.Marshal(generationWire{
		Model: string(generation.Model), Prompt: generation.Prompt, MaxTokens: int64(generation.MaxTokens),
		Stream: true, RequestID: string(generation.Request), Adapter: string(generation.Adapter),
		Priority: generation.Priority, Offset: generation.Offset,
	})
}

// DecodeGeneration is the inverse of [EncodeGeneration] and tells whether the
// answer shall be streamed. It returns a *[CodecError] for anything else.
func DecodeGeneration(data []byte) (Generation, bool, error) {
	var wire generationWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return Generation{}, false, &CodecError{Message: "generation", Cause: err}
	}
	switch {
	case wire.MaxTokens < 0 || wire.Offset < 0:
		return Generation{}, false, &CodecError{Message: "generation", Cause: errNegative}
	case wire.RequestID == "":
		return Generation{}, false, &CodecError{Message: "generation", Cause: errNoRequest}
	case wire.Model == "":
		return Generation{}, false, &CodecError{Message: "generation", Cause: errNoModel}
	}
	return Generation{
		Request: names.Request(wire.RequestID), Model: names.Model(wire.Model), Adapter: names.Adapter(wire.Adapter),
		Prompt: wire.Prompt, MaxTokens: call.Tokens(wire.MaxTokens), Priority: wire.Priority, Offset: wire.Offset,
	}, wire.Stream, nil
}

// EncodePiece returns the JSON form of one chunk of generation's stream.
func EncodePiece(generation Generation, piece Piece, last bool) ([]byte, error) {
	choice := choiceWire{Text: piece.Text}
	if last {
		reason := finishLength
		choice.FinishReason = &reason
	}
	return json.Marshal(chunkWire{
		ID: string(generation.Request), Object: completionObject, Model: string(generation.Model),
		Choices: []choiceWire{choice}, PieceIndex: &piece.Index,
	})
}

// DecodePiece is the inverse of [EncodePiece]; expected is the index of a
// piece that carries none. It returns a *[CodecError] for anything else.
func DecodePiece(data []byte, expected int) (Piece, error) {
	var wire chunkWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return Piece{}, &CodecError{Message: "chunk", Cause: err}
	}
	if len(wire.Choices) == 0 {
		return Piece{}, &CodecError{Message: "chunk", Cause: errNoChoice}
	}
	piece := Piece{Index: expected, Text: wire.Choices[0].Text}
	if wire.PieceIndex != nil {
		piece.Index = *wire.PieceIndex
	}
	return piece, nil
}

// EncodeCancel returns the JSON form of a cancellation.
func EncodeCancel(request names.Request) ([]byte, error) {
	return json.Marshal(cancelWire{RequestID: string(request)})
}

// DecodeCancel is the inverse of [EncodeCancel].
func DecodeCancel(data []byte) (names.Request, error) {
	var wire cancelWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return "", &CodecError{Message: "cancellation", Cause: err}
	}
	return names.Request(wire.RequestID), nil
}

// EncodeFencedError returns the JSON form of a refusal of an order.
func EncodeFencedError(fencedError *FencedError) ([]byte, error) {
	return json.Marshal(fencedWire{Sent: fenceWire(fencedError.Sent), Seen: fenceWire(fencedError.Seen)})
}

// DecodeFencedError is the inverse of [EncodeFencedError].
func DecodeFencedError(data []byte) (*FencedError, error) {
	var wire fencedWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, &CodecError{Message: "fenced order", Cause: err}
	}
	return &FencedError{Sent: Fence(wire.Sent), Seen: Fence(wire.Seen)}, nil
}
