package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/copies"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/platform"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
)

// stutteringServer is a backend server that writes late bytes in front of the response to
// the second request of each connection.
type stutteringServer struct {
	address string
	// late is what it writes late; respond returns the response to a request.
	late    string
	respond func(request *http.Request) string
	// mutex guards ran.
	mutex sync.Mutex
	ran   []string
}

// stutteringServer adds a stuttering server of the service "notes".
func (fixture *fixture) stutteringServer(id names.BackendServer, late string, respond func(request *http.Request) string) *stutteringServer {
	fixture.t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		fixture.t.Fatal(err)
	}
	fixture.t.Cleanup(func() { listener.Close() })
	server := &stutteringServer{address: listener.Addr().String(), late: late, respond: respond}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			fixture.t.Cleanup(func() { conn.Close() })
			go server.serve(conn)
		}
	}()
	fixture.pool.Put(&pool.Server{ID: id, Service: "notes", Address: server.address, Domain: "a", Slots: 4, Models: []names.Model{"notes"}})
	return server
}

func (server *stutteringServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		server.mutex.Lock()
		server.ran = append(server.ran, request.Method+" "+request.URL.Path)
		server.mutex.Unlock()
		if number == 1 {
			_, _ = io.WriteString(conn, server.late)
		}
		if _, err := io.WriteString(conn, server.respond(request)); err != nil {
			return
		}
	}
}

// runs returns how often a request was run.
func (server *stutteringServer) runs(line string) int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return strings.Count(strings.Join(server.ran, "\n"), line)
}

// framed returns a response with the given header lines and a length.
func framed(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
}

// respondLikeEngine responds as a model engine does: with the identifier and a stamp to
// requests, with neither to reports and orders.
func respondLikeEngine(request *http.Request) string {
	switch request.URL.Path {
	case "/report":
		return framed(http.StatusOK, "Content-Type: application/json\r\n", `{"seq":1,"models":[]}`)
	case "/order":
		return framed(http.StatusConflict, "", "")
	default:
		return framed(http.StatusOK, "Id: "+request.Header.Get("Id")+"\r\nStamp: s\r\n", events(1, 2))
	}
}

// TestLateSecondResponsesAreNotTakenForTheCallersResponse checks what callers get if bytes
// that belong to an earlier call of the entry arrive in front of the server's response.
func TestLateSecondResponsesAreNotTakenForTheCallersResponse(t *testing.T) {
	report := framed(http.StatusOK, "Content-Type: application/json\r\n", `{"seq":1,"models":[]}`)
	cases := []struct {
		name string
		late string
	}{
		{"a report", report},
		{"an order that was accepted", framed(http.StatusAccepted, "", "")},
		{"an order that was refused", framed(http.StatusConflict, "", "")},
		{"a refusal without an identifier", framed(http.StatusServiceUnavailable, "Not-Run: 1\r\nStamp: s\r\n", "")},
		{"a refusal of many requests", framed(http.StatusTooManyRequests, "Not-Run: 1\r\n", "")},
		{"a refusal as another server", framed(http.StatusMisdirectedRequest, "Not-Run: 1\r\n", "")},
		{"a refusal of a request without an identifier", framed(http.StatusBadRequest, "Not-Run: 1\r\n", "")},
		{"a refusal of an earlier request", framed(http.StatusServiceUnavailable, "Id: call-0\r\nNot-Run: 1\r\n", "")},
		{"a response to an earlier request", framed(http.StatusOK, "Id: call-0\r\nStamp: s\r\n", events(1, 1))},
		{"a stamped response without an identifier", framed(http.StatusOK, "Stamp: s\r\n", events(1, 1))},
		{"a response with two identifiers", framed(http.StatusOK, "Id: call-1\r\nId: call-0\r\nStamp: s\r\n", events(1, 1))},
		{"a response in chunks", "HTTP/1.1 200 OK\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n"},
		{"a response without a length", "HTTP/1.1 200 OK\r\nStamp: s\r\n\r\nwrong"},
		{"a response with two lengths", "HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nwrong"},
		{"a response that is cut", "HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 9\r\n\r\nwrong"},
		{"a large response", framed(http.StatusOK, "Stamp: s\r\n", strings.Repeat("x", 2<<20))},
		{"interim responses", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 5) + report},
		{"a switch of protocols", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n" + report},
		{"a response to HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"},
		{"no response", "garbage"},
	}
	for _, path := range []string{"/look/1", "/order/1", "/draft/1", "/later/1"} {
		for _, each := range cases {
			t.Run(path+" "+each.name, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				later := route("later", policy.KindStream, "notes")
				later.Resumable = true
				fixture := newFixture(t, route("look", policy.KindSafe, "notes"), route("order", policy.KindUnsafe, "notes"), route("draft", policy.KindStream, "notes"), later)
				server := fixture.stutteringServer("notes-1", each.late, respondLikeEngine)
				_, err := platform.NewEngines(fixture.trunk).Report(context.Background(), server.address, "notes-1")
				g.Expect(err).NotTo(HaveOccurred())
				for number := range 2 {
					result := fixture.call(http.MethodPost, path, "prompt", map[string]string{"Wait": "500ms"})
					if number == 1 {
						g.Expect(result.status).To(Equal(http.StatusOK), "nothing late precedes the second response")
					}
					if result.err != nil {
						continue
					}
					switch result.status {
					case http.StatusOK:
						g.Expect(result.header.Get("Stamp")).To(Equal("s"))
						g.Expect(result.header.Get("Id")).To(Equal("call-1"))
						g.Expect(result.body).To(Equal(events(1, 2)))
					case http.StatusBadGateway, http.StatusGatewayTimeout:
					default:
						g.Expect(result.status).To(BeZero(), "neither the server's response nor a failure that may have run")
					}
				}
				g.Expect(server.runs("POST "+path)).To(Equal(2), "each request runs once")
			})
		}
	}
}

// TestSkippedResponseIsLoggedWithTheRequestThatItNames checks the event by which operators
// tell a server that responds twice.
func TestSkippedResponseIsLoggedWithTheRequestThatItNames(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("order", policy.KindUnsafe, "notes"))
	server := fixture.stutteringServer("notes-1", framed(http.StatusServiceUnavailable, "Id: call-0\r\nNot-Run: 1\r\n", ""), respondLikeEngine)
	_, err := platform.NewEngines(fixture.trunk).Report(context.Background(), server.address, "notes-1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(fixture.call(http.MethodPost, "/order/1", "order", nil).status).To(Equal(http.StatusOK))
	entry := fixture.logs.AllEntries()[0]
	g.Expect(entry.Message).To(Equal("responseSkipped"))
	g.Expect(entry.Data["request"]).To(Equal("call-1"))
	g.Expect(entry.Data["named"]).To(Equal("call-0"))
	g.Expect(entry.Data["status"]).To(Equal(http.StatusServiceUnavailable))
	g.Expect(entry.Data["server"]).To(Equal("notes-1"))
}

// TestLateCopiesOfCallersResponsesAreNotTakenForOrdersOrReports checks the other direction.
func TestLateCopiesOfCallersResponsesAreNotTakenForOrdersOrReports(t *testing.T) {
	cases := []struct {
		name string
		late string
	}{
		{"a response to a request", framed(http.StatusOK, "Id: call-1\r\nStamp: s\r\n", `{"seq":7,"models":[]}`)},
		{"a response without an identifier", framed(http.StatusOK, "", `{"seq":7,"models":[]}`)},
		{"a status of an order", framed(http.StatusAccepted, "", "")},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			for _, earlier := range []string{"a request", "a report", "an order"} {
				g := NewWithT(t)
				fixture := newFixture(t, route("draft", policy.KindStream, "notes"))
				server := fixture.stutteringServer("notes-1", each.late, respondLikeEngine)
				engines := platform.NewEngines(fixture.trunk)
				for _, next := range []string{"report", "order"} {
					ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
					defer cancel()
					fixture.trunk.CloseIdle(func(string) bool { return false })
					switch earlier {
					case "a request":
						g.Expect(fixture.call(http.MethodPost, "/draft/1", "prompt", nil).status).To(Equal(http.StatusOK))
					case "a report":
						_, err := engines.Report(ctx, server.address, "notes-1")
						g.Expect(err).NotTo(HaveOccurred())
					case "an order":
						_, err := engines.Order(ctx, copies.OrderRequest{Server: "notes-1", Address: server.address})
						g.Expect(err).NotTo(HaveOccurred())
					}
					if next == "report" {
						report, err := engines.Report(ctx, server.address, "notes-1")
						g.Expect(err).NotTo(HaveOccurred(), "a report after %s", earlier)
						g.Expect(report.Accepted).To(Equal(int64(1)), "a report after %s", earlier)
						continue
					}
					outcome, err := engines.Order(ctx, copies.OrderRequest{Server: "notes-1", Address: server.address})
					g.Expect(err).NotTo(HaveOccurred(), "an order after %s", earlier)
					g.Expect(outcome).To(Equal(copies.OutcomeConflict), "an order after %s", earlier)
				}
			}
		})
	}
}

// TestSuccessesThatNoServerVouchesForAreNotForwarded checks responses that name the request
// and are not a server's success.
func TestSuccessesThatNoServerVouchesForAreNotForwarded(t *testing.T) {
	expectFailure(t, []namedResponse{
		{"no stamp", framed(http.StatusOK, "Id: call-1\r\n", events(1, 2))},
		{"no stamp, and no content", "HTTP/1.1 204 No Content\r\nId: call-1\r\n\r\n"},
		{"an encoding that the caller did not offer", framed(http.StatusOK, "Id: call-1\r\nStamp: s\r\nContent-Encoding: gzip\r\n", events(1, 2))},
		{"a success that was not run", framed(http.StatusOK, "Id: call-1\r\nStamp: s\r\nNot-Run: 1\r\n", events(1, 2))},
		{"two identifiers", framed(http.StatusOK, "Id: call-1\r\nId: call-2\r\nStamp: s\r\n", events(1, 2))},
	})
}

// TestRefusalsWithoutProofAreNotForwarded checks statuses that promise callers that the
// request has not run, from servers that don't say so.
func TestRefusalsWithoutProofAreNotForwarded(t *testing.T) {
	var cases []namedResponse
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		cases = append(cases, namedResponse{http.StatusText(status), framed(status, "Id: call-1\r\nStamp: s\r\n", "")})
	}
	expectFailure(t, cases)
}

// TestMisdirectedOrderIsSentElsewhere checks that status 421 alone shows that an order was not
// run.
func TestMisdirectedOrderIsSentElsewhere(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("order", policy.KindUnsafe, "notes"))
	misdirected := func(*http.Request) string { return framed(http.StatusMisdirectedRequest, "Id: call-1\r\n", "") }
	first := fixture.stutteringServer("notes-1", "", misdirected)
	fixture.stutteringServer("notes-2", "", misdirected)
	fixture.stutteringServer("notes-3", "", respondLikeEngine)
	result := fixture.call(http.MethodPost, "/order/1", "order", nil)
	g.Expect(result.status).To(Equal(http.StatusOK))
	g.Expect(first.runs("POST")).To(BeNumerically("<=", 1))
}

// namedResponse is a server's response.
type namedResponse struct {
	name     string
	response string
}

// expectFailure checks that callers get a failure that may have run in place of each
// response.
func expectFailure(t *testing.T, cases []namedResponse) {
	t.Helper()
	for _, path := range []string{"/look/1", "/order/1", "/draft/1"} {
		for _, each := range cases {
			t.Run(path+" "+each.name, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				fixture := newFixture(t, route("look", policy.KindSafe, "notes"), route("order", policy.KindUnsafe, "notes"), route("draft", policy.KindStream, "notes"))
				respond := func(*http.Request) string { return each.response }
				first, second := fixture.stutteringServer("notes-1", "", respond), fixture.stutteringServer("notes-2", "", respond)
				result := fixture.call(http.MethodPost, path, "prompt", map[string]string{"Wait": "500ms", "Accept-Encoding": "identity"})
				g.Expect(result.err).NotTo(HaveOccurred())
				g.Expect(result.status).To(BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout), "it may have run")
				if path != "/look/1" {
					g.Expect(first.runs("POST")+second.runs("POST")).To(Equal(1), "it is not sent again")
				}
			})
		}
	}
}
