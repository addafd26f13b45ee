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
	errFailed    = errors.New("engine reported an error")
	// Without these a report would read as that of an engine that has restarted and
	// holds nothing.
	errNoBoot     = errors.New("boot is missing")
	errNoResident = errors.New("resident is missing")
)

// EncodeOrder returns the JSON form of order.
func EncodeOrder(order Order) ([]byte, error) {
	orderWire := orderWire{Fence: fenceWire(order.Fence)}
	switch action := order.Action.(type) {
	case LoadModel:
		orderWire.Action, orderWire.Model, orderWire.Bytes = actionLoadModel, string(action.Model), action.Bytes
	case UnloadModel:
		orderWire.Action, orderWire.Model = actionUnloadModel, string(action.Model)
	case LoadAdapter:
		orderWire.Action, orderWire.Model, orderWire.Bytes = actionLoadAdapter, string(action.Model), action.Bytes
		orderWire.Adapter = string(action.Adapter)
	case UnloadAdapter:
		orderWire.Action, orderWire.Model = actionUnloadAdapter, string(action.Model)
		orderWire.Adapter = string(action.Adapter)
	case ChangeRole:
		orderWire.Action, orderWire.Role = actionChangeRole, string(action.Role)
	}
	return json.Marshal(orderWire)
}

// DecodeOrder decodes the result of [EncodeOrder]. Its error is a
// *[CodecError].
func DecodeOrder(data []byte) (Order, error) {
	var orderWire orderWire
	if err := json.Unmarshal(data, &orderWire); err != nil {
		return Order{}, &CodecError{MessageType: "order", Cause: err}
	}
	if orderWire.Bytes < 0 {
		return Order{}, &CodecError{MessageType: "order", Cause: errNegative}
	}
	action, err := decodeAction(orderWire)
	if err != nil {
		return Order{}, &CodecError{MessageType: "order", Cause: err}
	}
	return Order{Fence: Fence(orderWire.Fence), Action: action}, nil
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
	reportWire := reportWire{
		Boot: report.Boot, Applied: fenceWire(report.Applied),
		MemoryBytes: report.MemoryBytes, UsedBytes: report.UsedBytes,
		Resident: make([]residentWire, 0, len(report.Resident)),
		Running:  report.Running, Waiting: report.Waiting, Role: string(report.Role),
	}
	for _, each := range report.Resident {
		reportWire.Resident = append(reportWire.Resident, residentWire{
			Model: string(each.Model), Adapter: string(each.Adapter), Bytes: each.Bytes, Loading: each.Loading,
		})
	}
	return json.Marshal(reportWire)
}

// DecodeReport decodes the result of [EncodeReport]. Its error is a
// *[CodecError].
func DecodeReport(data []byte) (Report, error) {
	var reportWire reportWire
	if err := json.Unmarshal(data, &reportWire); err != nil {
		return Report{}, &CodecError{MessageType: "report", Cause: err}
	}
	switch {
	case reportWire.Boot == "":
		return Report{}, &CodecError{MessageType: "report", Cause: errNoBoot}
	case reportWire.Resident == nil:
		return Report{}, &CodecError{MessageType: "report", Cause: errNoResident}
	}
	report := Report{
		Boot: reportWire.Boot, Applied: Fence(reportWire.Applied),
		MemoryBytes: reportWire.MemoryBytes, UsedBytes: reportWire.UsedBytes,
		Resident: make([]Resident, 0, len(reportWire.Resident)),
		Running:  reportWire.Running, Waiting: reportWire.Waiting, Role: Role(reportWire.Role),
	}
	for _, each := range reportWire.Resident {
		if each.Bytes < 0 {
			return Report{}, &CodecError{MessageType: "report", Cause: errNegative}
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

// DecodeGeneration decodes the result of [EncodeGeneration]. It also reports
// whether the output is to be streamed. Its error is a *[CodecError].
func DecodeGeneration(data []byte) (Generation, bool, error) {
	var generationWire generationWire
	if err := json.Unmarshal(data, &generationWire); err != nil {
		return Generation{}, false, &CodecError{MessageType: "generation", Cause: err}
	}
	switch {
	case generationWire.MaxTokens < 0 || generationWire.Offset < 0:
		return Generation{}, false, &CodecError{MessageType: "generation", Cause: errNegative}
	case generationWire.RequestID == "":
		return Generation{}, false, &CodecError{MessageType: "generation", Cause: errNoRequest}
	case generationWire.Model == "":
		return Generation{}, false, &CodecError{MessageType: "generation", Cause: errNoModel}
	}
	return Generation{
		Request: names.Request(generationWire.RequestID), Model: names.Model(generationWire.Model), Adapter: names.Adapter(generationWire.Adapter),
		Prompt: generationWire.Prompt, MaxTokens: call.Tokens(generationWire.MaxTokens), Priority: generationWire.Priority, Offset: generationWire.Offset,
	}, generationWire.Stream, nil
}

// EncodePiece returns the JSON form of one chunk of a generation's stream. The
// last chunk has a finish reason.
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

// DecodePiece decodes the result of [EncodePiece]. A piece without an index
// gets the index expected. Its error is a *[CodecError].
func DecodePiece(data []byte, expected int) (Piece, error) {
	var chunkWire chunkWire
	if err := json.Unmarshal(data, &chunkWire); err != nil {
		return Piece{}, &CodecError{MessageType: "chunk", Cause: err}
	}
	if chunkWire.Error != nil {
		return Piece{}, &CodecError{MessageType: "chunk", Cause: errFailed}
	}
	if len(chunkWire.Choices) == 0 {
		return Piece{}, &CodecError{MessageType: "chunk", Cause: errNoChoice}
	}
	piece := Piece{Index: expected, Text: chunkWire.Choices[0].Text}
	if chunkWire.PieceIndex != nil {
		piece.Index = *chunkWire.PieceIndex
	}
	return piece, nil
}

// EncodeCancel returns the JSON form of a cancellation.
func EncodeCancel(request names.Request) ([]byte, error) {
	return json.Marshal(cancelWire{RequestID: string(request)})
}

// DecodeCancel decodes the result of [EncodeCancel]. Its error is a
// *[CodecError].
func DecodeCancel(data []byte) (names.Request, error) {
	var cancelWire cancelWire
	if err := json.Unmarshal(data, &cancelWire); err != nil {
		return "", &CodecError{MessageType: "cancellation", Cause: err}
	}
	return names.Request(cancelWire.RequestID), nil
}

// EncodeFencedError returns the JSON form of the refusal of a fenced order.
func EncodeFencedError(fencedError *FencedError) ([]byte, error) {
	return json.Marshal(fencedWire{Sent: fenceWire(fencedError.Sent), Seen: fenceWire(fencedError.Seen)})
}

// DecodeFencedError decodes the result of [EncodeFencedError]. Its error is a
// *[CodecError].
func DecodeFencedError(data []byte) (*FencedError, error) {
	var fencedWire fencedWire
	if err := json.Unmarshal(data, &fencedWire); err != nil {
		return nil, &CodecError{MessageType: "fenced order", Cause: err}
	}
	return &FencedError{Sent: Fence(fencedWire.Sent), Seen: Fence(fencedWire.Seen)}, nil
}
