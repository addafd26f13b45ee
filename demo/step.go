package demo

import (
	"net/http"
	"strings"
)

// step is one request of the demo and the expected response.
type step struct {
	title  string
	method string
	path   string
	body   string
	header http.Header
	// status is the expected status code.
	status int
	// contains lists texts that the body must contain.
	contains []string
	// suffix is the text that the body must end with.
	suffix string
	// sameAs is the title of an earlier step whose body must be identical; empty
	// means none.
	sameAs string
}

// mismatch describes how answer differs from the expected response. It is empty
// if answer matches.
func (step *step) mismatch(answer answer, earlier map[string]answer) string {
	if answer.status != step.status {
		return "the status is not " + http.StatusText(step.status)
	}
	for _, text := range step.contains {
		if !strings.Contains(answer.body, text) {
			return "the answer does not hold " + text
		}
	}
	if !strings.HasSuffix(answer.body, step.suffix) {
		return "the answer does not end with " + step.suffix
	}
	if step.sameAs != "" && earlier[step.sameAs].body != answer.body {
		return "the answer is not the one of " + step.sameAs
	}
	return ""
}
