package node

import (
	"io"
	stdlog "log"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus/hooks/test"
)

func TestFaultsOfConnectionsAreLogged(t *testing.T) {
	g := NewWithT(t)
	log, logged := test.NewNullLogger()
	stdlog.New(httpErrorWriter{log: log}, "", 0).Print("http: Accept error: too many open files")
	g.Expect(logged.LastEntry().Message).To(Equal("connectionFault"))
	g.Expect(logged.LastEntry().Data["cause"]).To(Equal("http: Accept error: too many open files"))
}

// TestReceivedBytesAreNotLogged checks that an answer of the key-value service, which may
// contain keys of accounts, is not logged if it comes when no call waits for it.
func TestReceivedBytesAreNotLogged(t *testing.T) {
	g := NewWithT(t)
	log, logged := test.NewNullLogger()
	previous, flags := stdlog.Writer(), stdlog.Flags()
	defer func() {
		stdlog.SetOutput(previous)
		stdlog.SetFlags(flags)
	}()
	captureStandardLog(log)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecret")
		time.Sleep(20 * time.Millisecond)
	}))
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	response, err := client.Get(server.URL)
	g.Expect(err).NotTo(HaveOccurred())
	response.Body.Close()
	g.Eventually(logged.LastEntry).ShouldNot(BeNil())
	g.Expect(logged.LastEntry().Message).To(Equal("connectionFault"))
	g.Expect(logged.LastEntry().Data["cause"]).To(Equal("Unsolicited response received on idle HTTP channel"))
}
