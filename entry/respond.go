package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/basilkeel/basilkeel/call"
)

// errorBody is the JSON form of a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code              string `json:"code"`
	Message           string `json:"message"`
	Outcome           string `json:"outcome"`
	RetryAfterSeconds int64  `json:"retryAfterSeconds,omitempty"`
}

func encodeError(refusal *call.Refusal) errorBody {
	return errorBody{Error: errorDetail{
		Code:              string(refusal.Code),
		Message:           refusal.Message,
		Outcome:           callerOutcome(refusal.OutcomeOrUnknown()),
		RetryAfterSeconds: retrySeconds(refusal.RetryAfter),
	}}
}

// callerOutcome returns the name of an outcome for callers. For a call that ran
// but whose response is replaced by a refusal, the effect is unknown to the
// caller.
func callerOutcome(outcome call.Outcome) string {
	switch outcome.(type) {
	case call.NotRun:
		return call.NotRun{}.String()
	case call.Run, call.Unknown:
		return call.Unknown{}.String()
	default:
		return call.Unknown{}.String()
	}
}

// retrySeconds rounds up to whole seconds, the unit of the Retry-After header.
func retrySeconds(wait time.Duration) int64 {
	return int64((wait + time.Second - 1) / time.Second)
}

// writeRefusal writes a refusal as the complete response. Nothing may have been
// written before.
func writeRefusal(writer http.ResponseWriter, refusal *call.Refusal) {
	if seconds := retrySeconds(refusal.RetryAfter); seconds > 0 {
		writer.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	if refusal.Code == call.CodeUnauthorized {
		writer.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(writer, statusOf(refusal.Code), encodeError(refusal))
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(writer, "the answer cannot be encoded", http.StatusInternalServerError)
		return
	}
	encoded = append(encoded, '\n')
	writer.Header().Set("Content-Type", "application/json")
	// Without a length, a response that is cut would look complete in HTTP/1.0.
	writer.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	writer.WriteHeader(status)
	writer.Write(encoded)
}
