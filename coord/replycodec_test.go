package coord_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/protobuf/proto"

	"github.com/basilkeel/basilkeel/coord"
	"github.com/basilkeel/basilkeel/wire"
)

// changingCoordination answers each report with the changes from the report's revision to one
// that rises with each report.
type changingCoordination struct {
	wire.UnimplementedCoordinationServer
	// mutex guards reached.
	mutex   sync.Mutex
	reached int64
}

// changesBetween returns a change for each revision after one up to another.
func changesBetween(after, to int64) []*wire.CoordChange {
	var changes []*wire.CoordChange
	for revision := after + 1; revision <= to; revision++ {
		changes = append(changes, &wire.CoordChange{
			Key: fmt.Sprintf("servers/%d", revision%97), Value: []byte(fmt.Sprintf(`{"seq":%d,"address":"10.0.0.%d:80"}`, revision, revision%97)),
			Revision: revision, Deleted: revision%13 == 0,
		})
	}
	return changes
}

// replyTo returns the reply to a report once a revision was reached.
func replyTo(report *wire.CoordExchangeRequest, reached int64) *wire.CoordExchangeReply {
	return &wire.CoordExchangeReply{
		Term: term, Changes: changesBetween(report.GetRevision(), reached), ChangesTo: reached, Fresh: true, Rank: int32(len(report.GetInstance())),
		Loads: []*wire.CoordServerLoad{{Server: report.GetInstance(), Running: 3}}, LoadsTold: true,
	}
}

func (coordination *changingCoordination) Exchange(_ context.Context, report *wire.CoordExchangeRequest) (*wire.CoordExchangeReply, error) {
	coordination.mutex.Lock()
	defer coordination.mutex.Unlock()
	coordination.reached += 7
	return replyTo(report, coordination.reached), nil
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
			wire.RegisterCoordinationServer(server, &changingCoordination{})
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
						if err != nil || !proto.Equal(reply, replyTo(report, reply.GetChangesTo())) {
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
