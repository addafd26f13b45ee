package demo

import (
	"net/http"

	"github.com/basilkeel/basilkeel/trial"
)

// steps returns the requests of the demo, in order.
func steps() []step {
	return []step{
		{
			title: "streamed draft", method: http.MethodPost, path: "/v1/chat/completions",
			body:   `{"model":"notes-7b+rack-layout","messages":[{"role":"user","content":"Lay out a drying rack for a north beach."}],"max_tokens":12,"stream":true}`,
			header: authorizedHeader(trial.Secret, nil), status: http.StatusOK,
			contains: []string{"chat.completion.chunk"}, suffix: "data: [DONE]\n\n",
		},
		{
			title: "short verdict", method: http.MethodPost, path: "/v1/completions",
			body:   `{"model":"notes-7b","prompt":"Is batch 12 dry enough?","max_tokens":4}`,
			header: authorizedHeader(trial.Secret, http.Header{"X-Request-Kind": {"verdict"}, "X-Request-Timeout": {"5s"}}),
			status: http.StatusOK, contains: []string{"text_completion", "finish_reason"},
		},
		{
			title: "timber order", method: http.MethodPost, path: "/svc/franchise-desk/orders",
			body:   `{"item":"rack timber","count":40}`,
			header: authorizedHeader(trial.Secret, http.Header{"Idempotency-Key": {"order-40"}}),
			status: http.StatusOK, contains: []string{"rack timber"},
		},
		{
			title: "same order again", method: http.MethodPost, path: "/svc/franchise-desk/orders",
			body:   `{"item":"rack timber","count":40}`,
			header: authorizedHeader(trial.Secret, http.Header{"Idempotency-Key": {"order-40"}}),
			status: http.StatusOK, contains: []string{"rack timber"}, sameAs: "timber order",
		},
		{
			title: "lookup without a key", method: http.MethodGet, path: "/svc/franchise-desk/tides?day=4",
			status: http.StatusOK, contains: []string{"/tides?day=4"},
		},
		{
			title: "wrong key", method: http.MethodPost, path: "/v1/completions",
			body:   `{"model":"notes-7b","prompt":"x"}`,
			header: authorizedHeader("not-a-key", nil), status: http.StatusUnauthorized, contains: []string{`"outcome":"notRun"`},
		},
	}
}

// authorizedHeader adds the API key and the JSON content type to header, which
// may be nil, and returns it.
func authorizedHeader(secret string, header http.Header) http.Header {
	if header == nil {
		header = http.Header{}
	}
	header.Set("Authorization", "Bearer "+secret)
	header.Set("Content-Type", "application/json")
	return header
}
