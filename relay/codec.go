package relay

import (
	"net/http"
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// Codec maps headers of the deployment to calls and answers.
type Codec interface {
	// ReadRequest reads what a caller's request says of itself.
	ReadRequest(request *http.Request) RequestInfo
	// ServerHeader returns the headers of an attempt for a server.
	ServerHeader(request *http.Request, attempt Attempt) http.Header
	// ReadResponse reads what a server's answer says of itself.
	ReadResponse(header http.Header) ResponseInfo
	// CallerHeader returns the headers of a server's answer for the caller.
	CallerHeader(header http.Header) http.Header
	// RefusalHeader returns the headers of an answer of the system's own.
	RefusalHeader(requestInfo RequestInfo) http.Header
}

// RequestInfo is what a request says of itself.
type RequestInfo struct {
	// ID identifies one attempt of a caller.
	ID string
	// Timeout is how long the caller waits; zero means not told.
	Timeout time.Duration
	Key     string
	Model   names.Model
	Adapter names.Adapter
	// PromptTokens and OutputTokens are negative where they are not told.
	PromptTokens int64
	OutputTokens int64
}

// Tokens returns the prompt with the most output, or a negative number.
func (requestInfo *RequestInfo) Tokens() int64 {
	if requestInfo.PromptTokens < 0 || requestInfo.OutputTokens < 0 {
		return -1
	}
	return requestInfo.PromptTokens + requestInfo.OutputTokens
}

// Attempt is what a server is told with a request.
type Attempt struct {
	// Server is the only one that is to run the request.
	Server   names.BackendServer
	Account  names.ClientAccount
	TimeLeft time.Duration
	// Prioritized tells that the server orders requests by Priority; zero goes
	// first.
	Prioritized bool
	Priority    int
	// ResumeAfter is the last event that the caller has; empty means from the start.
	ResumeAfter string
}

// ResponseInfo is what a server's answer says of itself.
type ResponseInfo struct {
	// RequestID identifies the request that is answered.
	RequestID string
	// NotRun tells that the server did not run the request.
	NotRun bool
	// Leaving tells that the server leaves and wants no further requests.
	Leaving bool
	// Backoff is how long the server wants no requests of this instance, where it
	// turned one away; else zero.
	Backoff time.Duration
}
