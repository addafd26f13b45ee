package member

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/fleet"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

// eventuallyTimeout bounds every wait. No result depends on its length.
const eventuallyTimeout = time.Minute

// peer is a service on a listener of its own.
type peer struct {
	service *Service
	member  fleet.Member
}

// startPeers starts a service for each instance, all on one list.
func startPeers(ctx context.Context, instances ...names.Instance) []peer {
	var peers []peer
	var members []fleet.Member
	var listeners []net.Listener
	for _, instance := range instances {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listeners = append(listeners, listener)
		members = append(members, fleet.NewMember(fleet.MemberConfig{
			Instance: instance, Role: fleet.RoleEntry, State: fleet.StateLive, Address: listener.Addr().String(),
		}))
	}
	log := logrus.New()
	log.SetOutput(GinkgoWriter)
	run, cancel := context.WithCancel(context.Background())
	timers := clock.NewService(clock.ServiceConfig{})
	for index, member := range members {
		service := NewService(ServiceConfig{
			Self: member, Clock: timers, Logger: log, Metrics: metrics.NewRegistry(),
			List:    func(context.Context) ([]fleet.Member, error) { return members, nil },
			Options: []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())},
		})
		server := grpc.NewServer()
		service.Register(server)
		go server.Serve(listeners[index]) //nolint:errcheck // It ends with the spec.
		service.Start(run)
		DeferCleanup(server.Stop)
		DeferCleanup(service.Close)
		peers = append(peers, peer{service: service, member: member})
	}
	DeferCleanup(timers.Wait)
	DeferCleanup(cancel)
	return peers
}

// stateAt returns the state in which viewer sees instance.
func stateAt(viewer peer, instance names.Instance) fleet.State {
	for _, member := range viewer.service.Current().Members() {
		if member.Instance() == instance {
			return member.State()
		}
	}
	return ""
}

var _ = Describe("a service", func() {
	It("marks itself as leaving and pushes the mark to its neighbours", func(ctx SpecContext) {
		peers := startPeers(ctx, "one", "two", "three")
		changed := peers[1].service.Changed()
		peers[0].service.Leave(ctx)
		Expect(peers[0].service.Leaving()).To(BeClosed())
		Expect(stateAt(peers[0], "one")).To(Equal(fleet.StateLeaving))
		for _, viewer := range peers[1:] {
			Eventually(stateAt).WithArguments(viewer, names.Instance("one")).WithTimeout(eventuallyTimeout).Should(Equal(fleet.StateLeaving))
		}
		Eventually(changed).WithTimeout(eventuallyTimeout).Should(BeClosed())
	})

	It("stops pushing its leaving mark once the context ends", func(ctx SpecContext) {
		peers := startPeers(ctx, "one")
		gone := fleet.NewMember(fleet.MemberConfig{Instance: "gone", Address: "127.0.0.1:1"})
		peers[0].service.step(ListReceived{Members: []fleet.Member{gone}})
		ended, cancel := context.WithCancel(ctx)
		cancel()
		peers[0].service.Leave(ended)
		Expect(stateAt(peers[0], "one")).To(Equal(fleet.StateLeaving))
	})

	It("relays to members only", func(ctx SpecContext) {
		peers := startPeers(ctx, "one", "two", "three")
		probe := encodeProbe(Probe{From: Record{Member: peers[0].member}})
		_, err := peers[1].service.Relay(ctx, &wire.RelayRequest{Address: "127.0.0.1:1", Probe: probe})
		Expect(status.Code(err)).To(Equal(codes.NotFound))
		reply, err := peers[1].service.Relay(ctx, &wire.RelayRequest{Address: peers[2].member.Address(), Probe: probe})
		Expect(err).NotTo(HaveOccurred())
		Expect(decodeReply(reply).From.Member.Instance()).To(Equal(names.Instance("three")))
	})

	It("keeps records whole over the wire", func() {
		record := Record{
			Member: newTestMember(7).WithState("", false), Birth: 5, Incarnation: 6, Health: Failed, Leaving: true, Accusers: 21,
		}
		Expect(decodeRecord(encodeRecord(record))).To(Equal(record))
	})
})
