package ident

import (
	"net/http"
	"net/url"
	"regexp"
	"strings"

	"github.com/basilkeel/basilkeel/call"
)

// maxDecodings limits how often text is percent-decoded in search of a secret.
const maxDecodings = 4

// credentialNames are the names of headers, cookies and query parameters that
// carry credentials, normalized to lower case with hyphens.
var credentialNames = map[string]bool{
	"authorization": true, "proxy-authorization": true, "x-authorization": true,
	"x-api-key": true, "api-key": true, "apikey": true, "key": true, "x-auth-token": true,
	"access-token": true, "auth-token": true, "token": true, "x-access-token": true,
	"x-goog-api-key": true, "x-amz-security-token": true, "password": true, "secret": true,
}

// hopByHopHeaders are the headers that apply to a single connection and must not
// be forwarded.
var hopByHopHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-authenticate": true, "proxy-connection": true,
	"te": true, "trailer": true, "transfer-encoding": true, "upgrade": true,
}

// ForwardedRequest holds the parts of a request that may be forwarded to a
// backend server.
type ForwardedRequest struct {
	Header http.Header
	// Path is the escaped path.
	Path string
	// Query is the raw query.
	Query string
}

// StripCredentials removes credentials, hop-by-hop headers, and everything that
// contains the caller's secret or another issued secret from a request. It
// returns a *[call.Refusal] if the path contains one, because a path cannot be
// omitted.
func StripCredentials(header http.Header, path, query, secret string) (ForwardedRequest, error) {
	if ContainsSecret(path, secret) {
		return ForwardedRequest{}, &call.Refusal{Code: call.CodeBadRequest, Message: "the path holds the key", Outcome: call.NotRun{}}
	}
	return ForwardedRequest{Header: stripHeader(header, secret), Path: path, Query: stripQuery(query, secret)}, nil
}

// issuedSecret matches every secret that the system issues.
var issuedSecret = regexp.MustCompile(SecretPrefix + `[A-Za-z0-9_-]{43}`)

// ContainsSecret reports whether text contains secret, or any secret of the form
// that the system issues, plain or percent-encoded.
func ContainsSecret(text, secret string) bool {
	for range maxDecodings {
		if containsSecretUndecoded(text, secret) {
			return true
		}
		decoded := decodePercent(text)
		if decoded == text {
			return false
		}
		text = decoded
	}
	// The text is encoded more deeply and may hide a secret.
	return true
}

// containsSecretUndecoded is ContainsSecret without decoding text.
func containsSecretUndecoded(text, secret string) bool {
	if len(secret) >= minSecretBytes && strings.Contains(text, secret) {
		return true
	}
	return strings.Contains(text, SecretPrefix) && issuedSecret.MatchString(text)
}

// decodePercent decodes every well-formed percent-encoded byte and keeps the rest
// of text unchanged.
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

// isCredential reports whether a header, cookie or query parameter called name
// carries credentials.
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
	named := connectionHeaders(header)
	kept := make(http.Header, len(header))
	for name, values := range header {
		normal := normalize(name)
		if isCredential(name) || hopByHopHeaders[normal] || named[normal] || ContainsSecret(name, secret) {
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

// connectionHeaders returns the names of the headers that are listed in
// Connection headers, normalized.
func connectionHeaders(header http.Header) map[string]bool {
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

// stripPairs removes the pairs that carry credentials or the secret from a list.
func stripPairs(list, separator, secret string) string {
	var kept []string
	for pair := range strings.SplitSeq(list, separator) {
		if !pairHasCredential(pair, secret) {
			kept = append(kept, pair)
		}
	}
	joined := strings.Join(kept, separator)
	if ContainsSecret(joined, secret) {
		// The secret contains the separator, so that no single pair does. Only
		// omitting the whole list is safe.
		return ""
	}
	return joined
}

// pairHasCredential reports whether a pair carries a credential or the secret.
// Like some servers, it also treats a semicolon as a separator and a plus sign
// in a name as a space.
func pairHasCredential(pair, secret string) bool {
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
