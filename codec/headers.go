package codec

import (
	"net/http"
	"sort"

	"github.com/basilkeel/basilkeel/wire"
)

// EncodeHeaders converts HTTP headers to messages, sorted by name.
func EncodeHeaders(headers http.Header) []*wire.Header {
	messages := make([]*wire.Header, 0, len(headers))
	for name, values := range headers {
		messages = append(messages, &wire.Header{Name: name, Values: values})
	}
	sort.Slice(messages, func(i, j int) bool { return messages[i].GetName() < messages[j].GetName() })
	return messages
}

// DecodeHeaders converts messages to HTTP headers.
func DecodeHeaders(messages []*wire.Header) http.Header {
	headers := make(http.Header, len(messages))
	for _, message := range messages {
		for _, value := range message.GetValues() {
			headers.Add(message.GetName(), value)
		}
	}
	return headers
}
