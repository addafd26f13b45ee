package engine

// The types in this file are the JSON forms of the HTTP API of model engines.

type fenceWire struct {
	Epoch    int64 `json:"epoch"`
	Sequence int64 `json:"sequence"`
}

type orderWire struct {
	Fence   fenceWire `json:"fence"`
	Action  string    `json:"action"`
	Model   string    `json:"model,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Bytes   int64     `json:"bytes,omitempty"`
	Role    string    `json:"role,omitempty"`
}

type residentWire struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Bytes   int64  `json:"bytes"`
	Loading bool   `json:"loading,omitempty"`
}

type reportWire struct {
	Boot        string         `json:"boot"`
	Applied     fenceWire      `json:"applied"`
	MemoryBytes int64          `json:"memoryBytes"`
	UsedBytes   int64          `json:"usedBytes"`
	Resident    []residentWire `json:"resident"`
	Running     int            `json:"running"`
	Waiting     int            `json:"waiting"`
	Role        string         `json:"role"`
}

// generationWire is a request of the completions API, extended by requestId,
// adapter, priority and offset.
type generationWire struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int64  `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	RequestID string `json:"requestId"`
	Adapter   string `json:"adapter,omitempty"`
	Priority  int    `json:"priority,omitempty"`
	Offset    int    `json:"offset,omitempty"`
}

type choiceWire struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// chunkWire is one event of a streamed completion. PieceIndex is absent from
// engines that do not number their pieces. Error is present if the engine failed.
type chunkWire struct {
	ID         string       `json:"id"`
	Object     string       `json:"object"`
	Model      string       `json:"model"`
	Choices    []choiceWire `json:"choices"`
	PieceIndex *int         `json:"pieceIndex,omitempty"`
	Error      any          `json:"error,omitempty"`
}

type cancelWire struct {
	RequestID string `json:"requestId"`
}

type fencedWire struct {
	Sent fenceWire `json:"sent"`
	Seen fenceWire `json:"seen"`
}
