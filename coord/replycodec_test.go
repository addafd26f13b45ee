package coord_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding/gzip"

	"github.com/basilkeel/basilkeel/coord"
	"github.com/basilkeel/basilkeel/store"
	"github.com/basilkeel/basilkeel/wire"
)

// countingMirror is a mirror with a key that changes with each revision, and whose revision rises
// with each call of Since.
type countingMirror struct {
	emptyMirror
	// mutex guards reached.
	mutex   sync.Mutex
	reached store.Revision
}

// changesBetween returns a change for each revision after one up to another.
func changesBetween(after, to store.Revision) []store.Entry {
	var changes []store.Entry
	for revision := after + 1; revision <= to; revision++ {
		changes = append(changes, store.NewEntry(store.EntryConfig{
			Key: fmt.Sprintf("servers/%d", revision%97), Value: []byte(fmt.Sprintf(`{"seq":%d,"address":"10.0.0.%d:80"}`, revision, revision%97)),
			Revision: revision, Deleted: revision%13 == 0,
		}))
	}
	return changes
}

// Since implements [coord.Mirror].
func (countingMirror *countingMirror) Since(after store.Revision) ([]store.Entry, store.Revision, bool, bool) {
	countingMirror.mutex.Lock()
	defer countingMirror.mutex.Unlock()
	countingMirror.reached += 7
	return changesBetween(after, countingMirror.reached), countingMirror.reached, false, true
}

// isChange reports whether a message is that of an entry.
func isChange(message *wire.CoordChange, entry store.Entry) bool {
	return message.GetKey() == entry.Key() && string(message.GetValue()) == string(entry.Value()) &&
		message.GetRevision() == int64(entry.Revision()) && message.GetDeleted() == entry.Deleted()
}

// TestSharedChangesReachEachEntry guards against replies that former versions of the entries can't
// read, and against an entry that is sent the changes of another one: a plain gRPC client, with and
// without compression, gets just the reply that the coordinator made.
func TestSharedChangesReachEachEntry(t *testing.T) {
	for _, options := range [][]grpc.CallOption{nil, {grpc.UseCompressor(gzip.Name)}} {
		t.Run(fmt.Sprintf("%d options", len(options)), func(t *testing.T) {
			g := NewWithT(t)
			listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			server := grpc.NewServer(coord.ServerOptions()...)
			coord.NewServer(newCoordinatorOver(t, &countingMirror{})).Register(server)
			go func() { _ = server.Serve(listener) }()
			defer server.Stop()
			conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			var reports sync.WaitGroup
			for entry := range 8 {
				reports.Go(func() {
					for index := range 15 {
						report := &wire.CoordExchangeRequest{Instance: fmt.Sprint("edge-", entry*100), Revision: int64(index * entry)}
						reply, err := wire.NewCoordinationClient(conn).Exchange(context.Background(), report, options...)
						if err != nil || reply.GetTerm() != term || !slices.EqualFunc(reply.GetChanges(), changesBetween(store.Revision(report.GetRevision()), store.Revision(reply.GetChangesTo())), isChange) {
							t.Errorf("entry %d got %v, %v", entry, reply, err)
							return
						}
					}
				})
			}
			reports.Wait()
		})
	}
}
