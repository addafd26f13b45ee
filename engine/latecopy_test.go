package engine_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/names"
)

// newStutteringServer starts a server that answers calls by respond. On each connection it
// writes its last answer once more as soon as it has read the next call, in front of the
// answer to that call. It returns the server's URL.
func newStutteringServer(t *testing.T, respond func(request *http.Request) string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for last := ""; ; {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					answer := respond(request)
					if _, err := io.WriteString(conn, last+answer); err != nil {
						return
					}
					last = answer
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

func framed(status int, contentType, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), contentType, len(body), body)
}

func TestLateCopiesAreNoAnswersOfPlainServices(t *testing.T) {
	g := NewWithT(t)
	client := engine.NewHTTPPlainService(engine.HTTPPlainServiceConfig{URL: newStutteringServer(t, func(request *http.Request) string {
		return framed(http.StatusOK, "text/plain", "for "+request.Header.Get(engine.HeaderAccount))
	})})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, account := range []names.ClientAccount{"first", "second", "third"} {
		response, err := client.Call(ctx, engine.PlainCall{Request: names.Request("r-" + account), Account: account, Method: http.MethodPost, Path: "/x", Header: http.Header{}})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(response.Body)).To(Equal("for " + string(account)))
	}
}

func TestLateCopiesAreNoAnswersOfEngines(t *testing.T) {
	stream := func(text string) string {
		return framed(http.StatusOK, "text/event-stream", "data: {\"choices\":[{\"text\":\""+text+"\"}]}\n\ndata: [DONE]\n\n")
	}
	order := func(client *engine.HTTPEngine, epoch int64) string {
		return fmt.Sprint(client.Order(context.Background(), engine.Order{Fence: engine.Fence{Epoch: epoch}, Action: engine.LoadModel{Model: testModel}}) == nil)
	}
	generate := func(client *engine.HTTPEngine, prompt string) string {
		pieces, err := collect(client, generation("r-"+prompt, prompt))
		if err != nil || len(pieces) != 1 {
			return "failed"
		}
		return pieces[0].Text
	}
	report := func(client *engine.HTTPEngine) string {
		report, err := client.Report(context.Background())
		if err != nil {
			return "failed"
		}
		return report.Boot
	}
	cancel := func(client *engine.HTTPEngine) string {
		return fmt.Sprint(client.Cancel(context.Background(), "r") == nil)
	}
	cases := []struct {
		name          string
		first, second func(client *engine.HTTPEngine) string
		answers       []string
		want          string
	}{
		{
			"a generation after another caller's",
			func(client *engine.HTTPEngine) string { return generate(client, "one") },
			func(client *engine.HTTPEngine) string { return generate(client, "two") },
			[]string{stream("one"), stream("two")},
			"two",
		},
		{
			"a refused order after an accepted one",
			func(client *engine.HTTPEngine) string { return order(client, 1) },
			func(client *engine.HTTPEngine) string { return order(client, 2) },
			[]string{framed(http.StatusAccepted, "application/json", ""), framed(http.StatusServiceUnavailable, "text/plain", "")},
			"false",
		},
		{
			"a report after one of before a restart", report, report,
			[]string{framed(http.StatusOK, "application/json", `{"boot":"b1","resident":[]}`), framed(http.StatusOK, "application/json", `{"boot":"b2","resident":[]}`)},
			"b2",
		},
		{
			"a failed cancellation after a report", report, cancel,
			[]string{framed(http.StatusOK, "application/json", `{"boot":"b1","resident":[]}`), framed(http.StatusInternalServerError, "text/plain", "")},
			"false",
		},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			number := 0
			client := engine.NewHTTPEngine(engine.HTTPEngineConfig{URL: newStutteringServer(t, func(*http.Request) string {
				number++
				return each.answers[number-1]
			})})
			defer client.Close()
			each.first(client)
			g.Expect(each.second(client)).To(Equal(each.want))
		})
	}
}

func TestConnectionsResumeTLSSessions(t *testing.T) {
	g := NewWithT(t)
	var resumed []bool
	server := httptest.NewTLSServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		resumed = append(resumed, request.TLS.DidResume)
	}))
	defer server.Close()
	pool := x509.NewCertPool()
	pool.AddCert(server.Certificate())
	client := engine.NewHTTPPlainService(engine.HTTPPlainServiceConfig{URL: server.URL, TLS: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}})
	defer client.Close()
	for range 3 {
		_, err := client.Call(context.Background(), engine.PlainCall{Request: "r", Method: http.MethodGet, Path: "/", Header: http.Header{}})
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(resumed).To(Equal([]bool{false, true, true}))
}
