package ident_test

import (
	"bytes"
	"errors"
	"net/http"
	"net/url"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/ident"
)

const secret = "bk_Zm9vYmFyYmF6cXV4Zm9vYmFyYmF6cXV4Zm9vYmFyYmE"

var _ = Describe("strip", func() {
	It("keeps what is no credential and drops the rest", func() {
		header := http.Header{
			"Authorization":       {"Bearer " + secret},
			"authorization":       {"Bearer other"},
			"PROXY-AUTHORIZATION": {"Basic x"},
			"X_Api_Key":           {"x"},
			"Connection":          {"close, X-Hidden", "x-more"},
			"X-Hidden":            {"1"},
			"X-More":              {"1"},
			"Transfer-Encoding":   {"chunked"},
			"Cookie":              {"a=1; api_key=x; b=2", "session=" + secret},
			"X-Copy":              {"keep", "see " + url.QueryEscape(url.QueryEscape("!"+secret))},
			"X-" + secret:         {"1"},
			"Accept":              {"text/plain"},
		}
		query := "a=1&key=x&api%5Fkey=x&ACCESS_TOKEN=x&b=" + secret + "&c=2;token=3&d=%2e"
		forwardedRequest, err := ident.StripCredentials(header, "/orders/7", query, secret)
		Expect(err).NotTo(HaveOccurred())
		Expect(forwardedRequest.Header).To(Equal(http.Header{
			"Cookie": {"a=1; b=2"}, "X-Copy": {"keep"}, "Accept": {"text/plain"},
		}))
		Expect(forwardedRequest.Query).To(Equal("a=1&d=%2e"))
		Expect(forwardedRequest.Path).To(Equal("/orders/7"))
		_, err = ident.StripCredentials(nil, "/orders/"+strings.ReplaceAll(secret, "Z", "%5a"), "", secret)
		Expect(err).To(HaveOccurred())
	})

	It("drops keys that the request does not run on, too", func() {
		other := ident.NewSecret()
		header := http.Header{"X-Note": {"use " + other}, "Accept": {"*/*"}}
		for _, presented := range []string{"", secret} {
			forwardedRequest, err := ident.StripCredentials(header, "/", "a=1&b="+other, presented)
			Expect(err).NotTo(HaveOccurred())
			Expect(forwardedRequest).To(Equal(ident.ForwardedRequest{Header: http.Header{"Accept": {"*/*"}}, Path: "/", Query: "a=1"}))
			_, err = ident.StripCredentials(nil, "/"+other, "", presented)
			Expect(err).To(HaveOccurred())
		}
	})

	It("finds a secret that holds a separator", func() {
		forwardedRequest, err := ident.StripCredentials(nil, "/", "x=abcd&efgh&y=1", "abcd&efgh")
		Expect(err).NotTo(HaveOccurred())
		Expect(forwardedRequest.Query).To(BeEmpty())
	})

	It("keeps secrets out of logs", func() {
		var written bytes.Buffer
		logger := logrus.New()
		logger.SetOutput(&written)
		logger.AddHook(ident.Redactor{})
		logger.WithFields(logrus.Fields{
			"header": http.Header{"Authorization": {"Bearer other"}}, "error": errors.New("api_key=other"), "count": 3,
		}).Infof("got %s", secret)
		Expect(written.String()).To(And(Not(ContainSubstring(secret)), Not(ContainSubstring("other")), ContainSubstring("count=3")))
	})

	It("issues secrets that it knows again", func() {
		issued := ident.NewSecret()
		Expect(issued).NotTo(Equal(ident.NewSecret()))
		Expect(ident.Redact("x " + issued + " y")).To(Equal("x [redacted] y"))
	})
})

// leaks reports whether a server that decodes the forwarded request at most
// twice can see the secret.
func leaks(forwardedRequest ident.ForwardedRequest) bool {
	texts := []string{forwardedRequest.Path, forwardedRequest.Query}
	for name, values := range forwardedRequest.Header {
		texts = append(append(texts, name), values...)
	}
	for _, text := range texts {
		once, onceErr := url.QueryUnescape(text)
		twice, _ := url.QueryUnescape(once)
		path, _ := url.PathUnescape(text)
		if strings.Contains(text, secret) || strings.Contains(path, secret) ||
			(onceErr == nil && (strings.Contains(once, secret) || strings.Contains(twice, secret))) {
			return true
		}
	}
	return false
}

// hide draws a text that contains the secret, percent-encoded up to three times.
func hide(t *rapid.T) string {
	hidden := rapid.SampledFrom([]string{"", "x=", "key=", "a;b=", "Bearer "}).Draw(t, "before") + secret
	for range rapid.IntRange(0, 3).Draw(t, "encodings") {
		hidden = encodeSome(t, hidden)
	}
	return hidden + rapid.SampledFrom([]string{"", "&c=1", ";d", "%", "%2"}).Draw(t, "after")
}

func encodeSome(t *rapid.T, text string) string {
	var encoded strings.Builder
	for _, char := range []byte(text) {
		if rapid.IntRange(0, 9).Draw(t, "encode") == 0 || char == '%' {
			const digits = "0123456789abcdef"
			encoded.WriteString("%" + string(digits[char>>4]) + string(digits[char&15]))
			continue
		}
		encoded.WriteByte(char)
	}
	return encoded.String()
}

func TestStripLeaksNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		texts := rapid.OneOf(rapid.String(), rapid.Custom(hide))
		header := http.Header{}
		for range rapid.IntRange(0, 4).Draw(t, "headers") {
			name := rapid.OneOf(rapid.SampledFrom([]string{"authorization", "Cookie", "Connection", "X-A"}), texts).Draw(t, "name")
			header[name] = append(header[name], texts.Draw(t, "value"))
		}
		forwardedRequest, err := ident.StripCredentials(header, "/"+texts.Draw(t, "path"), texts.Draw(t, "query"), secret)
		if err == nil && leaks(forwardedRequest) {
			t.Fatalf("forwarded request leaks the secret: %+v", forwardedRequest)
		}
	})
}

func FuzzStrip(f *testing.F) {
	f.Add("Cookie", "a=1; k="+secret, "/x", "a="+secret+"&key=1")
	f.Add("X-A", "%62k_", "/"+secret, "%6bey="+secret)
	f.Add("Connection", "X-B", "/%25", "a;b&"+secret+"%")
	f.Fuzz(func(t *testing.T, name, value, path, query string) {
		header := http.Header{name: {value}, "Authorization": {"Bearer " + secret}}
		forwardedRequest, err := ident.StripCredentials(header, path, query, secret)
		if err == nil && leaks(forwardedRequest) {
			t.Fatalf("forwarded request leaks the secret: %+v", forwardedRequest)
		}
	})
}
