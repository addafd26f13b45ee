package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
)

// addressHolder is one of several backend servers that have the same address in turn. It
// refuses requests for other servers.
type addressHolder struct {
	id       names.BackendServer
	boot     string
	listener net.Listener
	// refusal is added to the header of its refusals.
	refusal string
	// mutex guards all below.
	mutex sync.Mutex
	got   []string
	conns []net.Conn
}

// holdAddress starts a server at an address, or at a new one.
func (fixture *fixture) holdAddress(address string, id names.BackendServer, boot, refusal string) *addressHolder {
	fixture.t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		fixture.t.Fatal(err)
	}
	holder := &addressHolder{id: id, boot: boot, listener: listener, refusal: refusal}
	fixture.t.Cleanup(func() { listener.Close(); holder.closeConnections() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			holder.mutex.Lock()
			holder.conns = append(holder.conns, conn)
			holder.mutex.Unlock()
			go holder.serve(conn)
		}
	}()
	return holder
}

func (holder *addressHolder) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		expected := request.Header.Get("Server")
		holder.mutex.Lock()
		holder.got = append(holder.got, expected)
		holder.mutex.Unlock()
		header := "Id: " + request.Header.Get("Id") + "\r\n"
		response := framed(http.StatusOK, header+"Stamp: "+holder.boot+"\r\n", events(1, 2))
		if expected != string(holder.id) {
			response = framed(http.StatusMisdirectedRequest, header+"Not-Run: 1\r\n"+holder.refusal, "")
		}
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
	}
}

func (holder *addressHolder) closeConnections() {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	for _, conn := range holder.conns {
		conn.Close()
	}
}

func (holder *addressHolder) requests() int {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	return len(holder.got)
}

func (holder *addressHolder) address() string { return holder.listener.Addr().String() }

func (holder *addressHolder) server(incarnation int64) *pool.Server {
	return &pool.Server{ID: holder.id, Service: "notes", Address: holder.address(), Incarnation: incarnation, Domain: "a", Slots: 4, Models: []names.Model{"notes"}}
}

// TestConnectionsToAFormerServerAtTheAddress checks requests to a server whose address
// another server had, or the same one before a restart, while a connection to the former is
// still kept.
func TestConnectionsToAFormerServerAtTheAddress(t *testing.T) {
	cases := []struct {
		name string
		id   names.BackendServer
		// ended says that the former server has ended, so that its connections are closed.
		ended bool
		// refused says that the first request to the new server reaches the former one.
		refused bool
	}{
		{name: "another server after the former has ended", id: "notes-2", ended: true},
		{name: "another server while the former goes on", id: "notes-2", refused: true},
		{name: "the same server after a restart", id: "notes-1", ended: true},
	}
	for _, path := range []string{"/look/1", "/order/1", "/draft/1"} {
		for _, each := range cases {
			t.Run(path+" "+each.name, func(t *testing.T) {
				g := NewWithT(t)
				fixture := newFixture(t, route("look", policy.KindSafe, "notes"), route("order", policy.KindUnsafe, "notes"), route("draft", policy.KindStream, "notes"))
				former := fixture.holdAddress("127.0.0.1:0", "notes-1", "former", "")
				fixture.pool.Put(former.server(1))
				g.Expect(fixture.call(http.MethodPost, path, "prompt", nil).header.Get("Stamp")).To(Equal("former"))
				former.listener.Close()
				if each.ended {
					former.closeConnections()
				}
				present := fixture.holdAddress(former.address(), each.id, "present", "")
				if each.id != former.id {
					fixture.pool.Remove(former.id, time.Now())
				}
				fixture.pool.Put(present.server(2))
				result := fixture.call(http.MethodPost, path, "prompt", map[string]string{"Id": "call-2", "Wait": "500ms"})
				g.Expect(result.err).NotTo(HaveOccurred())
				if each.refused {
					g.Expect(result.status).To(Equal(http.StatusServiceUnavailable), "nothing has run the request")
					g.Expect(former.requests()).To(Equal(2))
					g.Expect(present.requests()).To(BeZero())
					return
				}
				g.Expect(result.status).To(Equal(http.StatusOK))
				g.Expect(result.header.Get("Stamp")).To(Equal("present"))
				g.Expect(former.requests()).To(Equal(1))
			})
		}
	}
}

// TestFormerServerSaysNothingOfTheServerAtItsAddress checks that what a former server says
// of itself, as it refuses a request that it got on a kept connection, is not believed of the
// server that has its address now.
func TestFormerServerSaysNothingOfTheServerAtItsAddress(t *testing.T) {
	for _, refusal := range []string{"Leaving: 1\r\n", "Rest: 1h\r\n", "Rate: 0\r\n"} {
		t.Run(fmt.Sprintf("%q", refusal), func(t *testing.T) {
			g := NewWithT(t)
			fixture := newFixture(t, route("look", policy.KindSafe, "notes"))
			former := fixture.holdAddress("127.0.0.1:0", "notes-1", "former", refusal)
			fixture.pool.Put(former.server(1))
			g.Expect(fixture.call(http.MethodPost, "/look/1", "prompt", nil).status).To(Equal(http.StatusOK))
			former.listener.Close()
			present := fixture.holdAddress(former.address(), "notes-2", "present", "")
			fixture.pool.Remove(former.id, time.Now())
			fixture.pool.Put(present.server(2))
			fixture.call(http.MethodPost, "/look/1", "prompt", map[string]string{"Id": "call-2", "Wait": "500ms"})
			g.Expect(former.requests()).To(Equal(2), "the kept connection still leads to the former server")
			former.closeConnections()
			result := fixture.call(http.MethodPost, "/look/1", "prompt", map[string]string{"Id": "call-3"})
			g.Expect(result.status).To(Equal(http.StatusOK))
			g.Expect(result.header.Get("Stamp")).To(Equal("present"))
		})
	}
}
