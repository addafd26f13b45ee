package entry

import (
	"errors"
	"net/http"
	"net/url"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/config"
)

func TestOpenRoutesLookAtNoCredentialAndForwardNone(t *testing.T) {
	for _, each := range []struct {
		title  string
		values []string
		path   string
		query  string
		want   string
		fails  bool
	}{
		{title: "none", path: "/tides", query: "day=4", want: "/tides?day=4"},
		{title: "another scheme", values: []string{"Basic c2VjcmV0LWtleQ=="}, path: "/tides", query: "day=4", want: "/tides?day=4"},
		{title: "no scheme", values: []string{"bare-secret-key"}, path: "/tides", query: "a=bare-secret-key&day=4", want: "/tides?day=4"},
		{title: "a malformed bearer", values: []string{"Bearer two words"}, path: "/tides", query: "day=4", want: "/tides?day=4"},
		{title: "two keys", values: []string{"Bearer first-secret", "Bearer other-secret"}, path: "/tides", query: "a=other-secret&b=first-secret&day=4", want: "/tides?day=4"},
		{title: "the credential in the path", values: []string{"Basic secret-in-path"}, path: "/tides/secret-in-path", fails: true},
	} {
		t.Run(each.title, func(t *testing.T) {
			g := NewWithT(t)
			plainCall := &plainCall{path: each.path}
			header := http.Header{"Authorization": each.values, "X-Note": each.values, "Accept": {"text/plain"}}
			err := plainCall.strip(&http.Request{Header: header, URL: &url.URL{RawQuery: each.query}})
			if each.fails {
				g.Expect(err).To(HaveOccurred())
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(plainCall.path).To(Equal(each.want))
			g.Expect(plainCall.header).NotTo(HaveKey("Authorization"))
			g.Expect(plainCall.header).NotTo(HaveKey("X-Note"))
			g.Expect(plainCall.header).To(HaveKey("Accept"))
		})
	}
}

func TestAnonymousCallersNameNoCallThatMayNotBeRepeated(t *testing.T) {
	for _, each := range []struct {
		open, idempotent, refused bool
	}{
		{open: true, idempotent: false, refused: true},
		{open: true, idempotent: true},
		{open: false, idempotent: false},
		{open: false, idempotent: true},
	} {
		g := NewWithT(t)
		plainCall := &plainCall{route: config.NewRoute(config.RouteConfig{Open: each.open, Idempotent: each.idempotent})}
		err := plainCall.readIdempotencyKey(http.Header{idempotencyHeader: {"one"}})
		var refusal *call.Refusal
		g.Expect(errors.As(err, &refusal)).To(Equal(each.refused))
		if each.refused {
			g.Expect(refusal.Code).To(Equal(call.CodeBadRequest))
			g.Expect(refusal.OutcomeOrUnknown()).To(Equal(call.NotRun{}))
		}
	}
}
