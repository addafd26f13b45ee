package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/basilkeel/basilkeel/call"
)

const (
	// kindHeader is the header with the kind of a request.
	kindHeader = "X-Request-Kind"
	// timeoutHeader is the header with the caller's timeout, such as 1.5s.
	timeoutHeader = "X-Request-Timeout"
)

// textBody is the JSON form of a text completion.
type textBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens *int64 `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// chatBody is the JSON form of a chat completion.
type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens *int64        `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// parseText parses a text completion. Its error is a *call.Refusal.
func parseText(body []byte, header http.Header, limit int64) (*completion, error) {
	var message textBody
	if err := decodeJSON(body, &message); err != nil {
		return nil, err
	}
	return newCompletion(message.Model, message.Prompt, message.MaxTokens, message.Stream, header, limit)
}

// parseChat parses a chat completion. Its error is a *call.Refusal.
func parseChat(body []byte, header http.Header, limit int64) (*completion, error) {
	var message chatBody
	if err := decodeJSON(body, &message); err != nil {
		return nil, err
	}
	if len(message.Messages) == 0 {
		return nil, badRequest("messages: at least one is needed")
	}
	return newCompletion(message.Model, joinMessages(message.Messages), message.MaxTokens, message.Stream, header, limit)
}

func newCompletion(label, prompt string, maxTokens *int64, stream bool, header http.Header, limit int64) (*completion, error) {
	if label == "" {
		return nil, badRequest("model: a name is needed")
	}
	if prompt == "" {
		return nil, badRequest("prompt: a text is needed")
	}
	tokens, err := parseMaxTokens(maxTokens, limit)
	if err != nil {
		return nil, err
	}
	kind, err := parseKind(header, stream)
	if err != nil {
		return nil, err
	}
	timeout, err := parseTimeout(header)
	if err != nil {
		return nil, err
	}
	model, adapter := splitModel(label)
	return &completion{
		modelName: label, model: model, adapter: adapter, prompt: prompt,
		maxTokens: tokens, stream: stream, kind: kind, timeout: timeout,
	}, nil
}

func parseMaxTokens(stated *int64, limit int64) (call.Tokens, error) {
	if stated == nil {
		return call.Tokens(limit), nil
	}
	if *stated < 1 || *stated > limit {
		return 0, badRequest("max_tokens: out of range")
	}
	return call.Tokens(*stated), nil
}

// parseKind returns the kind of a completion. The default is interactive for a
// caller who streams, and verdict for one who needs the complete output.
func parseKind(header http.Header, stream bool) (call.Kind, error) {
	name := header.Get(kindHeader)
	if name == "" {
		if stream {
			return call.KindInteractive, nil
		}
		return call.KindVerdict, nil
	}
	kind, err := call.ParseKind(name)
	if err != nil || kind == call.KindTransaction {
		return 0, badRequest(kindHeader + ": one of interactive, verdict, batch is needed")
	}
	return kind, nil
}

func parseTimeout(header http.Header) (time.Duration, error) {
	text := header.Get(timeoutHeader)
	if text == "" {
		return 0, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 {
		return 0, badRequest(timeoutHeader + ": a duration such as 1.5s is needed")
	}
	return timeout, nil
}

// decodeJSON decodes exactly one JSON value. It ignores unknown fields, since
// model clients send many.
func decodeJSON(body []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(into); err != nil {
		return badRequest(describeJSONError(err))
	}
	if _, err := decoder.Token(); err != io.EOF {
		return badRequest("the body holds more than one JSON value")
	}
	return nil
}

// describeJSONError returns a description of a decoding error for the caller.
func describeJSONError(err error) string {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return fmt.Sprintf("%s: a %s is not what is expected", typeError.Field, typeError.Value)
	}
	return "the body is not JSON: " + err.Error()
}

// joinMessages concatenates the messages of a chat into one prompt.
func joinMessages(messages []chatMessage) string {
	var builder strings.Builder
	for _, message := range messages {
		builder.WriteString(message.Role)
		builder.WriteString(": ")
		builder.WriteString(message.Content)
		builder.WriteString("\n")
	}
	return builder.String()
}
