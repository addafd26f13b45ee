package entry

import (
	"net/http"

	"github.com/basilkeel/basilkeel/call"
)

// statusOf returns the HTTP status for the code of a refusal.
func statusOf(code call.Code) int {
	switch code {
	case call.CodeBadRequest:
		return http.StatusBadRequest
	case call.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case call.CodeUnsupportedMedia:
		return http.StatusUnsupportedMediaType
	case call.CodeUnauthorized:
		return http.StatusUnauthorized
	case call.CodeNotFound:
		return http.StatusNotFound
	case call.CodeRateLimited:
		return http.StatusTooManyRequests
	case call.CodeConflict:
		return http.StatusConflict
	case call.CodeQuarantined:
		return http.StatusUnprocessableEntity
	case call.CodeBroken:
		return http.StatusBadGateway
	case call.CodeDeadline:
		return http.StatusGatewayTimeout
	case call.CodeCancelled:
		return http.StatusRequestTimeout
	case call.CodeOverloaded, call.CodeDraining, call.CodeLoading, call.CodeUnavailable, call.CodeStale:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}
