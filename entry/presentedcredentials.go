package entry

import (
	"net/http"
	"strings"

	"github.com/basilkeel/basilkeel/ident"
)

// maxMalformedCredentials limits how many malformed credentials are searched
// for in a request that is forwarded.
const maxMalformedCredentials = 4

// presentedCredentials returns the credentials in the Authorization headers,
// including malformed ones. It returns at least one string, which may be empty.
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
