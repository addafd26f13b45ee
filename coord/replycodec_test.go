package coord_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
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

// dialCoordinator returns a connection to a coordinator that shares the changes of a mirror.
func dialCoordinator(t *testing.T, mirror coord.Mirror) *grpc.ClientConn {
	t.Helper()
	g := NewWithT(t)
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := grpc.NewServer(coord.ServerOptions()...)
	coord.NewServer(newCoordinatorOver(t, mirror)).Register(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { conn.Close() })
	return conn
}

// TestSharedChangesReachEachEntry guards against replies that former versions of the entries can't
// read, and against an entry that is sent the changes of another one: a plain gRPC client, with and
// without compression, gets just the reply that the coordinator made.
func TestSharedChangesReachEachEntry(t *testing.T) {
	for _, options := range [][]grpc.CallOption{nil, {grpc.UseCompressor(gzip.Name)}} {
		t.Run(fmt.Sprintf("%d options", len(options)), func(t *testing.T) {
			conn := dialCoordinator(t, &countingMirror{})
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

// restoredMirror is a mirror of a service that counts its revisions anew with other values once
// it has been restored.
type restoredMirror struct {
	emptyMirror
	restored atomic.Bool
}

// Since implements [coord.Mirror].
func (restoredMirror *restoredMirror) Since(store.Revision) ([]store.Entry, store.Revision, bool, bool) {
	var changes []store.Entry
	for revision := store.Revision(1); revision <= 100; revision++ {
		value := fmt.Sprintf("%d, restored: %t", revision, restoredMirror.restored.Load())
		changes = append(changes, store.NewEntry(store.EntryConfig{Key: fmt.Sprint(revision), Value: []byte(value), Revision: revision}))
	}
	return changes, 100, true, true
}

// TestChangesOfARestoredServiceAreNotThoseKept guards against blocks of changes that are kept and
// sent although the service was restored and has other values with the same revisions.
func TestChangesOfARestoredServiceAreNotThoseKept(t *testing.T) {
	g := NewWithT(t)
	mirror := &restoredMirror{}
	client := wire.NewCoordinationClient(dialCoordinator(t, mirror))
	for _, restored := range []bool{false, false, true, true, false} {
		mirror.restored.Store(restored)
		reply, err := client.Exchange(context.Background(), &wire.CoordExchangeRequest{Instance: "edge-2"}, grpc.UseCompressor(gzip.Name))
		g.Expect(err).NotTo(HaveOccurred())
		expected, _, _, _ := mirror.Since(0)
		g.Expect(slices.EqualFunc(reply.GetChanges(), expected, isChange)).To(BeTrue(), "restored: %t", restored)
	}
}
