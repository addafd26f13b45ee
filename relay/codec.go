package relay

import (
	"net/http"
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// Codec maps headers of the deployment to calls and answers.
type Codec interface {
	// ReadCall reads what a caller's request says of itself.
	ReadCall(request *http.Request) Call
	// ServerHeader returns the headers of an attempt for a server.
	ServerHeader(request *http.Request, attempt Attempt) http.Header
	// ReadAnswer reads what a server's answer says of itself.
	ReadAnswer(header http.Header) Answer
	// CallerHeader returns the headers of a server's answer for the caller.
	CallerHeader(header http.Header) http.Header
	// RefusalHeader returns the headers of an answer of the system's own.
	RefusalHeader(call Call) http.Header
}

// Call is what a request says of itself.
type Call struct {
	// ID identifies one attempt of a caller.
	ID string
	// Deadline is how long the caller waits; zero means not told.
	Deadline time.Duration
	Key      string
	Model    names.Model
	Adapter  names.Adapter
	// PromptTokens and OutputTokens are negative where they are not told.
	PromptTokens int64
	OutputTokens int64
}

// Tokens returns the prompt with the most output, or a negative number.
func (call *Call) Tokens() int64 {
	if call.PromptTokens < 0 || call.OutputTokens < 0 {
		return -1
	}
	return call.PromptTokens + call.OutputTokens
}

// Attempt is what a server is told with a request.
type Attempt struct {
	// Server is the only one that is to run the request.
	Server  names.BackendServer
	Account names.ClientAccount
	Left    time.Duration
	// Prioritized tells that the server orders requests by Priority; zero goes
	// first.
	Prioritized bool
	Priority    int
	// Resume is the last event that the caller has; empty means from the start.
	Resume string
}

// Answer is what a server's answer says of itself.
type Answer struct {
	// Call identifies the request that is answered.
	Call string
	// NotRun tells that the server did not run the request.
	NotRun bool
	// Leaving tells that the server leaves and wants no further requests.
	Leaving bool
	// Rest is how long the server wants no requests of this instance, where it
	// turned one away; else zero.
	Rest time.Duration
}
