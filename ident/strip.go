package ident

import (
	"net/http"
	"net/url"
	"regexp"
	"strings"

	"github.com/basilkeel/basilkeel/call"
)

// maxDecodings bounds how often text is percent-decoded in search of a secret.
const maxDecodings = 4

// credentialNames are names of headers, cookies and query parameters that
// carry credentials, in lower case with hyphens.
var credentialNames = map[string]bool{
	"authorization": true, "proxy-authorization": true, "x-authorization": true,
	"x-api-key": true, "api-key": true, "apikey": true, "key": true, "x-auth-token": true,
	"access-token": true, "auth-token": true, "token": true, "x-access-token": true,
	"x-goog-api-key": true, "x-amz-security-token": true, "password": true, "secret": true,
}

// hopHeaders are headers that concern one connection only.
var hopHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-authenticate": true, "proxy-connection": true,
	"te": true, "trailer": true, "transfer-encoding": true, "upgrade": true,
}

// ForwardedRequest is what of a request may reach a backend server.
type ForwardedRequest struct {
	Header http.Header
	// Path is the escaped path, Query the raw query.
	Path  string
	Query string
}

// StripCredentials returns what of a request may be forwarded: no credentials, no headers
// of the connection, and the caller's secret nowhere. It returns a
// *[call.Refusal] for a path that holds the secret, as it cannot be left out.
func StripCredentials(header http.Header, path, query, secret string) (ForwardedRequest, error) {
	if ContainsSecret(path, secret) {
		return ForwardedRequest{}, &call.Refusal{Code: call.CodeBadRequest, Message: "the path holds the key", Outcome: call.NotRun{}}
	}
	return ForwardedRequest{Header: stripHeader(header, secret), Path: path, Query: stripQuery(query, secret)}, nil
}

// issuedSecret matches every secret that the system issues.
var issuedSecret = regexp.MustCompile(SecretPrefix + `[A-Za-z0-9_-]{43}`)

// ContainsSecret tells whether secret, or any secret of the form that the system
// issues, occurs in text, as it is or percent-encoded.
func ContainsSecret(text, secret string) bool {
	for range maxDecodings {
		if holdsSecret(text, secret) {
			return true
		}
		decoded := decodePercent(text)
		if decoded == text {
			return false
		}
		text = decoded
	}
	// What is encoded still deeper is not told apart from a hidden secret.
	return true
}

func holdsSecret(text, secret string) bool {
	if len(secret) >= minSecretBytes && strings.Contains(text, secret) {
		return true
	}
	return strings.Contains(text, SecretPrefix) && issuedSecret.MatchString(text)
}

// decodePercent decodes every well-formed percent triplet and keeps the rest.
func decodePercent(text string) string {
	if !strings.Contains(text, "%") {
		return text
	}
	var decoded strings.Builder
	for i := 0; i < len(text); i++ {
		if text[i] == '%' && i+2 < len(text) {
			if part, err := url.PathUnescape(text[i : i+3]); err == nil {
				decoded.WriteString(part)
				i += 2
				continue
			}
		}
		decoded.WriteByte(text[i])
	}
	return decoded.String()
}

// isCredential tells whether a header, cookie or parameter carries credentials.
func isCredential(name string) bool {
	for range maxDecodings {
		name = decodePercent(name)
	}
	return credentialNames[normalize(name)]
}

func normalize(name string) string {
	return strings.ReplaceAll(strings.ToLower(strings.TrimSpace(name)), "_", "-")
}

func stripHeader(header http.Header, secret string) http.Header {
	named := namedByConnection(header)
	kept := make(http.Header, len(header))
	for name, values := range header {
		normal := normalize(name)
		if isCredential(name) || hopHeaders[normal] || named[normal] || ContainsSecret(name, secret) {
			continue
		}
		for _, value := range values {
			if normal == "cookie" {
				value = stripCookies(value, secret)
			}
			if value == "" && normal == "cookie" || ContainsSecret(value, secret) {
				continue
			}
			kept[name] = append(kept[name], value)
		}
	}
	return kept
}

// namedByConnection returns the headers that Connection headers name.
func namedByConnection(header http.Header) map[string]bool {
	named := map[string]bool{}
	for name, values := range header {
		if normalize(name) != "connection" {
			continue
		}
		for _, value := range values {
			for option := range strings.SplitSeq(value, ",") {
				named[normalize(option)] = true
			}
		}
	}
	return named
}

func stripCookies(value, secret string) string {
	return stripPairs(value, ";", secret)
}

func stripQuery(query, secret string) string {
	return stripPairs(query, "&", secret)
}

// stripPairs drops the pairs of a list that carry credentials or the secret.
func stripPairs(list, separator, secret string) string {
	var kept []string
	for pair := range strings.SplitSeq(list, separator) {
		if !pairCarries(pair, secret) {
			kept = append(kept, pair)
		}
	}
	joined := strings.Join(kept, separator)
	if ContainsSecret(joined, secret) {
		// The secret holds a separator; only leaving all out is safe.
		return ""
	}
	return joined
}

// pairCarries looks at a pair as some servers do: a semicolon may part a query
// as well, and a plus is a space in a name.
func pairCarries(pair, secret string) bool {
	if ContainsSecret(pair, secret) {
		return true
	}
	for part := range strings.SplitSeq(pair, ";") {
		name, _, _ := strings.Cut(part, "=")
		if isCredential(strings.ReplaceAll(name, "+", " ")) {
			return true
		}
	}
	return false
}
