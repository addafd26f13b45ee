package relay

import (
	"net/http"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/permit"
	"github.com/basilkeel/basilkeel/pool"
)

// Codec converts between the HTTP headers of a deployment and the relay's types.
type Codec interface {
	// ReadRequest parses the headers of a caller's request.
	ReadRequest(request *http.Request) RequestInfo
	// ServerHeader returns the headers of the request that an attempt sends to a
	// server.
	ServerHeader(request *http.Request, attempt Attempt) http.Header
	// ReadResponse parses the headers of a server's response.
	ReadResponse(header http.Header) ResponseInfo
	// CallerHeader returns those headers of a server's response that are forwarded to
	// the caller.
	CallerHeader(header http.Header) http.Header
	// RefusalHeader returns additional headers for a response that the relay generates
	// itself.
	RefusalHeader(requestInfo RequestInfo) http.Header
}

// RequestInfo is what the headers of a caller's request contain.
type RequestInfo struct {
	// ID identifies one attempt of a caller. It is empty if the request has none, or several.
	ID string
	// Timeout is how long the caller waits for the response; zero means unspecified.
	Timeout time.Duration
	Key     string
	Model   names.Model
	Adapter names.Adapter
	// PromptTokens and OutputTokens are the prompt's length and the maximum output;
	// negative means unspecified.
	PromptTokens int64
	OutputTokens int64
	// SharedParts are the IDs of the parts of the prompt, in order, that other requests may
	// have as well.
	SharedParts []string
	// SharedTokens are the numbers of tokens of SharedParts; a missing number is zero.
	SharedTokens []int64
}

// Tokens returns the sum of the prompt's length and the maximum output, or -1 if
// either is unspecified.
func (requestInfo *RequestInfo) Tokens() int64 {
	if requestInfo.PromptTokens < 0 || requestInfo.OutputTokens < 0 {
		return -1
	}
	return requestInfo.PromptTokens + requestInfo.OutputTokens
}

// Attempt is what a server is sent in addition to the caller's request.
type Attempt struct {
	// Server is the only server that may run the request. Another one that has taken
	// over its address must refuse it.
	Server  names.BackendServer
	Account names.ClientAccount
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// Prioritized reports whether the server orders requests by Priority, lowest value
	// first.
	Prioritized bool
	Priority    int
	// ResumeAfter is the ID of the last event that the caller has received; empty means
	// that the stream starts at its beginning.
	ResumeAfter string
}

// ResponseInfo is what the headers of a server's response contain.
type ResponseInfo struct {
	// RequestID is the ID of the request that the response belongs to. It is empty if the
	// response names no request, or several.
	RequestID string
	// Stamped reports whether the response bears the mark that only servers set.
	Stamped bool
	// Encoding is the encoding of the body, such as "gzip"; empty means none.
	Encoding string
	// NotRun reports whether the server refused the request without running it.
	NotRun bool
	// Leaving reports whether the server is shutting down and accepts no further
	// requests.
	Leaving bool
	// Backoff is how long this instance must send the server no requests after a
	// refusal; zero means no such limit.
	Backoff time.Duration
	// Rate is what the response says about the rate of requests that the server accepts
	// from all entries together; nil is the same as [permit.Unreadable].
	Rate permit.Declaration
	// Load is the load that the server states, or nil if it states none that can be read.
	// LoadUnread reports whether it states one that cannot.
	Load       *pool.InstanceLoad
	LoadUnread bool
}
