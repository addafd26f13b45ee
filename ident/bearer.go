package ident

import (
	"net/http"
	"strings"

	"github.com/basilkeel/basilkeel/call"
)

const (
	headerAuthorization = "Authorization"
	bearerScheme        = "bearer"
	// maxSecretBytes limits the length of a presented secret.
	maxSecretBytes = 512
)

// SecretFromHeader returns the secret from the Authorization header, which must
// use the Bearer scheme. It returns an empty secret if there is no such header,
// and a *[call.Refusal] if it is malformed or there is more than one.
func SecretFromHeader(header http.Header) (string, error) {
	values := header.Values(headerAuthorization)
	if len(values) == 0 {
		return "", nil
	}
	scheme, secret, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	secret = strings.TrimSpace(secret)
	wellFormed := len(values) == 1 && strings.EqualFold(scheme, bearerScheme) &&
		secret != "" && len(secret) <= maxSecretBytes && !strings.ContainsAny(secret, " \t,")
	if !wellFormed {
		return "", unauthorizedRefusal("present one key as Authorization: Bearer <key>")
	}
	return secret, nil
}

func unauthorizedRefusal(message string) *call.Refusal {
	return &call.Refusal{Code: call.CodeUnauthorized, Message: message, Outcome: call.NotRun{}}
}
