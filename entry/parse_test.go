package entry

import (
	"errors"
	"net/http"
	"testing"

	"github.com/basilkeel/basilkeel/call"
)

const fuzzLimit = 1024

// checkParsed fails the test unless a parser's result is a completion within
// its bounds or the refusal of a bad request whose outcome is 'not run'.
func checkParsed(t *testing.T, completion *completion, err error) {
	t.Helper()
	if err != nil {
		var refusal *call.Refusal
		if !errors.As(err, &refusal) || refusal.Code != call.CodeBadRequest {
			t.Fatalf("not a refusal of a bad request: %v", err)
		}
		if _, notRun := refusal.OutcomeOrUnknown().(call.NotRun); !notRun {
			t.Fatalf("outcome of a bad request is not 'not run': %v", err)
		}
		return
	}
	if completion.modelName == "" || completion.prompt == "" || completion.maxTokens < 1 || completion.maxTokens > fuzzLimit {
		t.Fatalf("out of bounds: %+v", completion)
	}
	if completion.timeout < 0 || completion.kind == call.KindTransaction || completion.kind == 0 {
		t.Fatalf("out of bounds: %+v", completion)
	}
}

func FuzzParseText(f *testing.F) {
	f.Add([]byte(`{"model":"a+b","prompt":"x","max_tokens":3,"stream":true}`), "batch", "1s")
	f.Add([]byte(`{"model":"a","prompt":"x"} {}`), "", "-1s")
	f.Add([]byte(`[]`), "transaction", "x")
	f.Fuzz(func(t *testing.T, body []byte, kind, timeout string) {
		completion, err := parseText(body, header(kind, timeout), fuzzLimit)
		checkParsed(t, completion, err)
	})
}

func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"a","messages":[{"role":"user","content":"x"}]}`), "verdict", "")
	f.Add([]byte(`{"model":"a","messages":[{}],"max_tokens":0}`), "", "")
	f.Add([]byte(`{"model":"a","messages":7}`), "", "")
	f.Fuzz(func(t *testing.T, body []byte, kind, timeout string) {
		completion, err := parseChat(body, header(kind, timeout), fuzzLimit)
		checkParsed(t, completion, err)
	})
}

func header(kind, timeout string) http.Header {
	header := http.Header{}
	if kind != "" {
		header.Set(kindHeader, kind)
	}
	if timeout != "" {
		header.Set(timeoutHeader, timeout)
	}
	return header
}
