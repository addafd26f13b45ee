package relay_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/relay"
)

// sendingCodec calls sending with each request that is about to be sent to a server.
type sendingCodec struct {
	plainCodec
	sending func(server names.BackendServer)
}

// ServerHeader implements [relay.Codec].
func (sendingCodec *sendingCodec) ServerHeader(request *http.Request, attempt relay.Attempt) http.Header {
	sendingCodec.sending(attempt.Server)
	return sendingCodec.plainCodec.ServerHeader(request, attempt)
}

// farServer is [fixture.server] for a server of the failure domain "b".
func (fixture *fixture) farServer(id names.BackendServer, service names.Service, handle http.HandlerFunc) *requestLog {
	seen := fixture.server(id, service, handle)
	for _, server := range fixture.pool.Servers(time.Now()) {
		if server.ID == id {
			moved := *server
			moved.Domain = "b"
			fixture.pool.Put(&moved)
		}
	}
	return seen
}

func (fixture *fixture) evacuate(domains ...names.FailureDomain) {
	fixture.pool.SetEvacuated(domains, time.Now())
}

// TestEvacuationsReachRequestsInProgress guards against requests that were admitted before
// an evacuation and reach a server of the failure domain after it.
func TestEvacuationsReachRequestsInProgress(t *testing.T) {
	resumable := route("draft", policy.KindStream, "notes")
	resumable.Resumable = true
	draft := map[string]string{"Model": "notes"}
	adapted := map[string]string{"Model": "notes", "Adapter": "a1"}
	cases := []struct {
		name string
		path string
		// header is that of the request.
		header map[string]string
		// prepare adds the servers. It returns the logs of those in the failure domain "a",
		// which is evacuated during the request, and how many requests may reach them.
		prepare func(fixture *fixture, codec *sendingCodec) ([]*requestLog, int)
		body    string
	}{
		{
			name: "right before the first byte is sent", path: "/order/1",
			prepare: func(fixture *fixture, codec *sendingCodec) ([]*requestLog, int) {
				codec.sending = func(names.BackendServer) { fixture.evacuate("a") }
				fixture.farServer("desk-2", "desk", ok)
				return []*requestLog{fixture.server("desk-1", "desk", ok)}, 0
			},
			body: "fine",
		},
		{
			name: "while its adapter is loaded", path: "/draft/1", header: adapted,
			prepare: func(fixture *fixture, _ *sendingCodec) ([]*requestLog, int) {
				fixture.coordinator.onAdapter = func(*pool.Server) { fixture.evacuate("a") }
				fixture.farServer("notes-2", "notes", ok)
				return []*requestLog{fixture.server("notes-1", "notes", ok)}, 0
			},
			body: "fine",
		},
		{
			name: "while it waits for its model", path: "/draft/1", header: map[string]string{"Model": "other"},
			prepare: func(fixture *fixture, _ *sendingCodec) ([]*requestLog, int) {
				seen := fixture.server("notes-1", "notes", ok)
				fixture.farServer("notes-2", "notes", ok)
				fixture.coordinator.onWait = func(names.Model) {
					fixture.evacuate("a")
					for _, server := range fixture.pool.Servers(time.Now()) {
						holder := *server
						holder.Models = []names.Model{"other"}
						fixture.pool.Put(&holder)
					}
				}
				return []*requestLog{seen}, 0
			},
			body: "fine",
		},
		{
			name: "before its stream is resumed", path: "/draft/1", header: draft,
			prepare: func(fixture *fixture, _ *sendingCodec) ([]*requestLog, int) {
				fixture.farServer("notes-2", "notes", func(writer http.ResponseWriter, _ *http.Request) {
					writer.Header().Set("Content-Type", "text/event-stream")
					_, _ = fmt.Fprint(writer, events(3, 4))
				})
				breakOff := func(writer http.ResponseWriter, _ *http.Request) {
					writer.Header().Set("Content-Type", "text/event-stream")
					_, _ = fmt.Fprint(writer, events(1, 2))
					_ = http.NewResponseController(writer).Flush()
					fixture.evacuate("a")
					hijack(writer).Close()
				}
				return []*requestLog{fixture.server("notes-1", "notes", breakOff), fixture.server("notes-3", "notes", breakOff)}, 1
			},
			body: events(1, 4),
		},
		{
			name: "before it is sent again after a refusal", path: "/order/1",
			prepare: func(fixture *fixture, _ *sendingCodec) ([]*requestLog, int) {
				fixture.farServer("desk-2", "desk", ok)
				refuse := func(writer http.ResponseWriter, _ *http.Request) {
					fixture.evacuate("a")
					writer.Header().Set("Not-Run", "1")
					writer.WriteHeader(http.StatusServiceUnavailable)
				}
				return []*requestLog{fixture.server("desk-1", "desk", refuse), fixture.server("desk-3", "desk", refuse)}, 1
			},
			body: "fine",
		},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			codec := &sendingCodec{sending: func(names.BackendServer) {}}
			fixture := newCodecFixture(t, codec, route("order", policy.KindUnsafe, "desk"), resumable)
			logs, most := each.prepare(fixture, codec)
			result := fixture.call(http.MethodPost, each.path, "", each.header)
			g.Expect(result.status).To(Equal(http.StatusOK))
			g.Expect(result.body).To(Equal(each.body))
			reached := 0
			for _, seen := range logs {
				reached += seen.count()
			}
			g.Expect(reached).To(BeNumerically("<=", most))
		})
	}
}

// TestServicesInEvacuatedDomainsRefuse guards against requests that wait or fail as if they
// had run when all servers of their service are evacuated, and against servers that stay
// unused afterwards.
func TestServicesInEvacuatedDomainsRefuse(t *testing.T) {
	g := NewWithT(t)
	fixture := newFixture(t, route("order", policy.KindUnsafe, "desk"), route("draft", policy.KindStream, "notes"))
	desk, notes := fixture.server("desk-1", "desk", ok), fixture.server("notes-1", "notes", ok)
	fixture.evacuate("a")
	for _, path := range []string{"/order/1", "/draft/1"} {
		result := fixture.call(http.MethodPost, path, "", map[string]string{"Model": "notes"})
		g.Expect(result.status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(result.body).To(ContainSubstring("noServer"))
		g.Expect(result.header.Get("Retry-After")).NotTo(BeEmpty())
	}
	g.Expect(fixture.coordinator.waitedFor).To(BeEmpty())
	fixture.evacuate()
	g.Expect(fixture.call(http.MethodPost, "/order/1", "", nil).status).To(Equal(http.StatusOK))
	g.Expect(fixture.call(http.MethodPost, "/draft/1", "", map[string]string{"Model": "notes"}).status).To(Equal(http.StatusOK))
	g.Expect([]int{desk.count(), notes.count()}).To(Equal([]int{1, 1}))
}
