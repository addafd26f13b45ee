package coord_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/basilkeel/basilkeel/coord"
	"github.com/basilkeel/basilkeel/wire"
)

// TestReportsGivenUpAreDropped guards against a coordinator that has fallen behind and spends its
// time on reports whose entries no longer wait, and against an entry that counts as following the
// coordinator although it gets no reply: the requests in the report count once the entry is answered.
func TestReportsGivenUpAreDropped(t *testing.T) {
	g := NewWithT(t)
	server := coord.NewServer(newCoordinator(t, &lease{}))
	report := &wire.CoordExchangeRequest{Instance: "edge-2", Loads: []*wire.CoordServerLoad{{Server: "engine-1", Running: 3}}}
	loads := func() []*wire.CoordServerLoad {
		reply, err := server.Exchange(context.Background(), &wire.CoordExchangeRequest{Instance: "edge-3"})
		g.Expect(err).NotTo(HaveOccurred())
		return reply.GetLoads()
	}
	givenUp, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := server.Exchange(givenUp, report)
	g.Expect(status.Code(err)).To(Equal(codes.Canceled))
	g.Expect(loads()).To(BeEmpty())
	_, err = server.Exchange(context.Background(), report)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(loads()).To(HaveLen(1))
}
