package entry

import (
	"net/http"
	"strings"

	"github.com/basilkeel/basilkeel/ident"
)

// maxMalformedCredentials bounds how many malformed credentials are searched for in what
// is forwarded.
const maxMalformedCredentials = 4

// presentedCredentials returns what the Authorization headers hold as credentials, also
// where they are malformed; at least one text, which may be empty.
func presentedCredentials(header http.Header) []string {
	secret, err := ident.SecretFromHeader(header)
	if err == nil {
		return []string{secret}
	}
	credentials := []string{""}
	for _, value := range header.Values("Authorization") {
		if len(credentials) > maxMalformedCredentials {
			break
		}
		value = strings.TrimSpace(value)
		if _, parameters, found := strings.Cut(value, " "); found {
			value = strings.TrimSpace(parameters)
		}
		credentials = append(credentials, value)
	}
	return credentials
}
