package entry

// format selects the API whose response format is written to the caller.
//
//sumtype:decl
type format interface{ format() }

// textFormat is the format of /v1/completions.
type textFormat struct{}

// chatFormat is the format of /v1/chat/completions.
type chatFormat struct{}

func (textFormat) format() {}
func (chatFormat) format() {}

// Values of the object field in responses of the completions APIs.
const (
	objectText      = "text_completion"
	objectChat      = "chat.completion"
	objectChatChunk = "chat.completion.chunk"
)

type completionBody struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []choiceBody `json:"choices"`
	Usage   *usageBody   `json:"usage,omitempty"`
}

type choiceBody struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *deltaBody   `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type deltaBody struct {
	Content string `json:"content,omitempty"`
}

type usageBody struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// chunkObject returns the object field of one event of a stream.
func chunkObject(format format) string {
	switch format.(type) {
	case textFormat:
		return objectText
	case chatFormat:
		return objectChatChunk
	default:
		return ""
	}
}

// chunkChoice returns the choice that carries one piece of a stream.
func chunkChoice(format format, text string) choiceBody {
	switch format.(type) {
	case textFormat:
		return choiceBody{Text: &text}
	case chatFormat:
		return choiceBody{Delta: &deltaBody{Content: text}}
	default:
		return choiceBody{}
	}
}

// completionObject returns the object field of a response that is not streamed.
func completionObject(format format) string {
	switch format.(type) {
	case textFormat:
		return objectText
	case chatFormat:
		return objectChat
	default:
		return ""
	}
}

// completionChoice returns the choice of a response that is not streamed.
func completionChoice(format format, text string) choiceBody {
	switch format.(type) {
	case textFormat:
		return choiceBody{Text: &text}
	case chatFormat:
		return choiceBody{Message: &chatMessage{Role: "assistant", Content: text}}
	default:
		return choiceBody{}
	}
}
