package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/platform"
	"github.com/basilkeel/basilkeel/policy"
)

// TestForwardedSuccessesKeepWhatTheyWereCheckedFor checks that callers get no success that
// lacks, in the form in which they get it, what a server's success has.
func TestForwardedSuccessesKeepWhatTheyWereCheckedFor(t *testing.T) {
	cases := []headerCase{
		{name: "a stamp for one connection", header: named + stamped + "Connection: X-Server-Stamp\r\n"},
		{name: "a stamp for one connection in lower case", header: named + stamped + "Connection: keep-alive , x-server-stamp\r\n"},
		{name: "a stamp of spaces", header: named + "X-Server-Stamp:   \r\n"},
		{name: "a refused encoding", header: named + stamped + "Content-Encoding: gzip\r\n", accepted: "gzip;q=0"},
		{name: "a refused encoding with more digits", header: named + stamped + "Content-Encoding: gzip\r\n", accepted: "br, gzip ; Q=0.000"},
		{name: "an encoding that only others may replace", header: named + stamped + "Content-Encoding: gzip\r\n", accepted: "*, gzip;q=0"},
	}
	expectNoSuccess(t, cases)
}

// TestSuccessesWithSeveralValuesOfAHeaderAreNotForwarded checks responses of which only the
// second value of a header shows that they are no success.
func TestSuccessesWithSeveralValuesOfAHeaderAreNotForwarded(t *testing.T) {
	expectNoSuccess(t, []headerCase{
		{name: "a second encoding", header: named + stamped + "Content-Encoding: identity\r\nContent-Encoding: gzip\r\n"},
		{name: "an encoding after an empty one", header: named + stamped + "Content-Encoding:\r\nContent-Encoding: gzip\r\n"},
		{name: "not run, after an empty value", header: named + stamped + "X-Not-Executed:\r\nX-Not-Executed: 1\r\n"},
	})
}

const (
	named   = "X-Attempt-Id: call-1\r\n"
	stamped = "X-Server-Stamp: s\r\n"
)

// headerCase is the header of a server's response, and the encodings that a caller accepts.
type headerCase struct {
	name     string
	header   string
	accepted string
}

// expectNoSuccess checks that callers get a failure, or a success with a stamp, without an
// encoding and without the mark of a request that was not run.
func expectNoSuccess(t *testing.T, cases []headerCase) {
	t.Helper()
	for _, path := range []string{"/order/1", "/draft/1"} {
		for _, each := range cases {
			t.Run(path+" "+each.name, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				fixture := newCodecFixture(t, platform.HeaderCodec{}, route("order", policy.KindUnsafe, "notes"), route("draft", policy.KindStream, "notes"))
				fixture.stutteringServer("notes-1", "", func(*http.Request) string { return framed(http.StatusOK, each.header, events(1, 2)) })
				header := map[string]string{"X-Attempt-Id": "call-1", "Authorization": "Bearer secret", "X-Deadline-Ms": "500", "Accept-Encoding": "identity"}
				if each.accepted != "" {
					header["Accept-Encoding"] = each.accepted
				}
				result := fixture.call(http.MethodPost, path, "prompt", header)
				g.Expect(result.err).NotTo(HaveOccurred())
				if result.status == http.StatusOK {
					g.Expect(result.header.Get("X-Server-Stamp")).To(Equal("s"))
					g.Expect(result.header).NotTo(HaveKey("Content-Encoding"))
					g.Expect(result.header).NotTo(HaveKey("X-Not-Executed"))
					return
				}
				g.Expect(result.status).To(BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout))
			})
		}
	}
}

// TestCallersCannotHaveTheIdentifierRemoved checks a caller who declares the identifier as a
// header of one connection.
func TestCallersCannotHaveTheIdentifierRemoved(t *testing.T) {
	g := NewWithT(t)
	fixture := newCodecFixture(t, platform.HeaderCodec{}, route("order", policy.KindUnsafe, "notes"))
	fixture.stutteringServer("notes-1", "", func(request *http.Request) string {
		if request.Header.Get("X-Attempt-Id") == "" {
			return framed(http.StatusBadRequest, "X-Not-Executed: 1\r\n", "")
		}
		return framed(http.StatusOK, "X-Attempt-Id: "+request.Header.Get("X-Attempt-Id")+"\r\nX-Server-Stamp: s\r\n", "fine")
	})
	conn := fixture.dialFront()
	_, err := fmt.Fprint(conn, "POST /order/1 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: call-1\r\nAuthorization: Bearer secret\r\nConnection: X-Attempt-Id\r\nContent-Length: 1\r\n\r\na")
	g.Expect(err).NotTo(HaveOccurred())
	began := time.Now()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
}

// TestConnectionEndsAfterABodyThatIsTooLarge checks a body in chunks, of which the rest is not
// read.
func TestConnectionEndsAfterABodyThatIsTooLarge(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("order", policy.KindUnsafe, "desk"))
	fixture.server("desk-1", "desk", ok)
	conn := fixture.dialFront()
	_, err := fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: desk.example\r\nId: call-1\r\nKey: secret\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n%s\r\n0\r\n\r\n", strings.Repeat("x", 2000))
	g.Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	g.Expect(response.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
	g.Expect(response.Close).To(BeTrue())
}

// TestCutResponseContinuedByAnotherIsNotWhole checks a server that sends the beginning of its
// response and then the whole response.
func TestCutResponseContinuedByAnotherIsNotWhole(t *testing.T) {
	body := strings.Repeat("fine ", 60)
	whole := framed(http.StatusOK, "Id: call-1\r\nStamp: s\r\n", body)
	quoting := "HTTP/1.1 200 OK is a status line"
	cases := []struct {
		name   string
		sent   string
		status int
		body   string
	}{
		{name: "cut", sent: whole[:len(whole)-200] + whole, status: http.StatusBadGateway},
		{name: "cut before its last bytes", sent: whole[:len(whole)-30] + whole, status: http.StatusBadGateway},
		{name: "whole, with other bytes behind it", sent: whole + "other", status: http.StatusOK, body: body},
		{name: "twice", sent: whole + whole, status: http.StatusOK, body: body},
		{name: "with a status line of its own", sent: framed(http.StatusOK, "Id: call-1\r\nStamp: s\r\n", quoting), status: http.StatusOK, body: quoting},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			fixture := newFixture(t, route("order", policy.KindUnsafe, "notes"))
			fixture.stutteringServer("notes-1", "", func(*http.Request) string { return each.sent })
			result := fixture.call(http.MethodPost, "/order/1", "prompt", map[string]string{"Wait": "500ms"})
			g.Expect(result.err).NotTo(HaveOccurred())
			g.Expect(result.status).To(Equal(each.status))
			if each.status == http.StatusOK {
				g.Expect(result.body).To(Equal(each.body))
			}
		})
	}
}

// TestRequestWithoutIdentifierGetsNoLateResponse checks that a late copy of a report does not
// meet a request that no response can name.
func TestRequestWithoutIdentifierGetsNoLateResponse(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("order", policy.KindUnsafe, "notes"))
	server := fixture.stutteringServer("notes-1", framed(http.StatusOK, "Stamp: s\r\n", `{"seq":1,"models":[]}`), func(request *http.Request) string {
		if request.URL.Path == "/report" {
			return framed(http.StatusOK, "", `{"seq":1,"models":[]}`)
		}
		return framed(http.StatusOK, "Stamp: s\r\n", "mine")
	})
	_, err := platform.NewEngines(fixture.trunk).Report(context.Background(), server.address, "notes-1")
	g.Expect(err).NotTo(HaveOccurred())
	result := fixture.call(http.MethodPost, "/order/1", "prompt", map[string]string{"Id": "", "Wait": "500ms"})
	g.Expect(result.err).NotTo(HaveOccurred())
	g.Expect(result.body).To(Equal("mine"))
}

// TestCutResponseOnAStreamRouteContinuedByAnotherIsNotWhole does the same for a body that is
// forwarded as it arrives.
func TestCutResponseOnAStreamRouteContinuedByAnotherIsNotWhole(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("draft", policy.KindStream, "notes"))
	body := strings.Repeat("fine ", 60)
	whole := framed(http.StatusOK, "Id: call-1\r\nStamp: s\r\nContent-Type: application/json\r\n", body)
	fixture.stutteringServer("notes-1", "", func(*http.Request) string { return whole[:len(whole)-200] + whole })
	result := fixture.call(http.MethodPost, "/draft/1", "prompt", map[string]string{"Wait": "500ms"})
	if result.err == nil && result.status == http.StatusOK {
		g.Expect(result.body).To(Equal(body))
	}
}
