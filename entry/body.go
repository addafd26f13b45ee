package entry

import (
	"errors"
	"io"
	"mime"
	"net/http"

	"github.com/basilkeel/basilkeel/call"
)

// readBody returns the body of a request, which may have up to limit bytes.
func readBody(writer http.ResponseWriter, request *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, &call.Refusal{Code: call.CodeTooLarge, Message: "the body is larger than allowed", Outcome: call.NotRun{}}
	default:
		return nil, badRequest("the body ended early")
	}
}

// readJSON is like [readBody] but requires the content type application/json.
func readJSON(writer http.ResponseWriter, request *http.Request, limit int64) ([]byte, error) {
	media, _, err := mime.ParseMediaType(request.Header.Get("Content-Type"))
	if err != nil || media != "application/json" {
		return nil, &call.Refusal{
			Code: call.CodeUnsupportedMedia, Message: "send the body as Content-Type: application/json", Outcome: call.NotRun{},
		}
	}
	return readBody(writer, request, limit)
}

func badRequest(message string) *call.Refusal {
	return &call.Refusal{Code: call.CodeBadRequest, Message: message, Outcome: call.NotRun{}}
}
