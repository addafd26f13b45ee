package claim_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/claim"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/stand"
	"github.com/basilkeel/basilkeel/store"
	"github.com/basilkeel/basilkeel/wire"
)

const (
	fleetEntries = 3
	fleetShards  = 4
	waitTimeout  = "1m"
)

// entry is the part of an entry that handles claims, served over a socket.
type entry struct {
	client *claim.Client
	host   *claim.Host
	server *grpc.Server
	stop   func()
}

// fleet is a number of entries that share one key-value service.
type fleet struct {
	g       *WithT
	kv      *stand.KV
	address string
	members members
	entries []*entry
}

// members is a fixed list of members.
type members []claim.Member

func (members members) Members() []claim.Member { return members }

func newFleet(t *testing.T) *fleet {
	g := NewWithT(t)
	fleet := &fleet{g: g, kv: stand.NewKV(stand.KVConfig{})}
	ctx, cancel := context.WithCancel(context.Background())
	listener := listen(g)
	fleet.address = listener.Addr().String()
	var served sync.WaitGroup
	served.Go(func() { _ = fleet.kv.Serve(ctx, listener) })
	listeners := make([]net.Listener, fleetEntries)
	for i := range listeners {
		listeners[i] = listen(g)
		instance := names.Instance(fmt.Sprintf("entry-%d", i))
		fleet.members = append(fleet.members, claim.Member{Instance: instance, Address: listeners[i].Addr().String()})
	}
	for i, listener := range listeners {
		fleet.entries = append(fleet.entries, fleet.start(fleet.members[i].Instance, listener, fleetShards))
	}
	t.Cleanup(func() {
		for _, entry := range fleet.entries {
			entry.stop()
		}
		cancel()
		served.Wait()
		fleet.kv.WaitLateWrites()
	})
	return fleet
}

// relisten listens again on the address of a member that has stopped.
func (fleet *fleet) relisten(index int) net.Listener {
	listener, err := net.Listen("tcp", fleet.members[index].Address)
	fleet.g.Expect(err).NotTo(HaveOccurred())
	return listener
}

func listen(g *WithT) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	return listener
}

func (fleet *fleet) start(self names.Instance, listener net.Listener, shards int) *entry {
	service, err := store.NewClient(store.ClientConfig{Address: fleet.address, CallTimeout: time.Minute})
	fleet.g.Expect(err).NotTo(HaveOccurred())
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	timers := clock.NewService(clock.ServiceConfig{})
	host := claim.NewHost(claim.HostConfig{
		Store: service, Clock: timers, Logger: logger, Shards: shards, WritesPerSecond: 1e6,
		Writer: claim.WriterConfig{Cooldown: time.Nanosecond, MaxViewAge: time.Nanosecond, SealBytes: 500},
	})
	server := grpc.NewServer()
	wire.RegisterClaimsServer(server, claim.NewServer(claim.ServerConfig{Host: host}))
	peers := claim.NewPeers(claim.PeersConfig{
		Options: []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())},
	})
	client := claim.NewClient(claim.ClientConfig{
		Self: self, Members: fleet.members, Host: host, Peers: peers, Clock: timers, Logger: logger,
		CandidateTimeout: 20 * time.Second,
	})
	var served sync.WaitGroup
	served.Go(func() { _ = server.Serve(listener) })
	stop := sync.OnceFunc(func() {
		client.Close()
		host.Close()
		server.Stop()
		peers.Close()
		_ = service.Close()
		served.Wait()
	})
	return &entry{client: client, host: host, server: server, stop: stop}
}

func intent(key, body string, request int) claim.Intent {
	return claim.Intent{
		Account:        "vatuloa",
		IdempotencyKey: key,
		Fingerprint:    claim.NewFingerprint("POST", "/orders", "application/json", []byte(body)),
		Request:        names.Request(fmt.Sprintf("%s-%d", key, request)),
	}
}

func (fleet *fleet) begin(entry int, key, body string, request int) claim.Verdict {
	return fleet.entries[entry].client.Begin(context.Background(), intent(key, body, request))
}

// expectProceed checks that the verdict is [claim.Proceed] and returns its claim.
func (fleet *fleet) expectProceed(verdict claim.Verdict) claim.Claim {
	fleet.g.THelper()
	proceed, ok := verdict.(claim.Proceed)
	fleet.g.Expect(ok).To(BeTrue(), "%#v", verdict)
	return proceed.Claim
}

// expectRefused checks that the verdict is [claim.Refused] and returns the refusal.
func (fleet *fleet) expectRefused(verdict claim.Verdict) *call.Refusal {
	fleet.g.THelper()
	refused, ok := verdict.(claim.Refused)
	fleet.g.Expect(ok).To(BeTrue(), "%#v", verdict)
	return refused.Refusal
}

func (fleet *fleet) flush(entry int) {
	fleet.g.THelper()
	fleet.g.Expect(fleet.entries[entry].client.Flush(context.Background())).To(Succeed())
}

func TestFleet(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("scenarios", func(t *testing.T) {
		for _, test := range []struct {
			name string
			run  func(*fleet)
		}{
			{"one of many repeats proceeds, then all are replayed", testRepeats},
			{"another body is refused", testOtherBody},
			{"released claim may be taken again", testReleased},
			{"unknown stays unknown", testUnknownStays},
			{"answer too large or lost is not kept", testAnswerNotKept},
			{"answer of the claim's write lost", testAnswerLost},
			{"claim's write lands late", testWriteLate},
			{"service refuses", testServiceRefuses},
			{"service hangs", testServiceHangs},
			{"first candidate gone", testCandidateGone},
			{"other number of shards", testOtherLayout},
			{"no idempotency key", testNoKey},
			{"claims outlive every entry", testAllReplaced},
		} {
			t.Run(test.name, func(t *testing.T) { test.run(newFleet(t)) })
		}
	})
}

func testRepeats(fleet *fleet) {
	const callers = 12
	verdicts := make([]claim.Verdict, callers)
	var calling sync.WaitGroup
	for i := range callers {
		calling.Go(func() { verdicts[i] = fleet.begin(i%fleetEntries, "k", "b", i) })
	}
	calling.Wait()
	var granted []claim.Claim
	for _, verdict := range verdicts {
		switch verdict := verdict.(type) {
		case claim.Proceed:
			granted = append(granted, verdict.Claim)
		case claim.Refused:
			fleet.g.Expect(verdict.Refusal.Code).To(Equal(call.CodeConflict))
			fleet.g.Expect(verdict.Refusal.OutcomeOrUnknown()).To(Equal(call.Unknown{}))
			fleet.g.Expect(verdict.Refusal.RetryAfter).To(BeNumerically(">", 0))
		}
	}
	fleet.g.Expect(granted).To(HaveLen(1))
	answer := claim.Answer{Status: 201, ContentType: "application/json", Body: []byte(`{"order":1}`)}
	fleet.entries[0].client.Finish(granted[0], call.Run{}, answer)
	fleet.flush(0)
	for i := range fleetEntries {
		fleet.g.Expect(fleet.begin(i, "k", "b", callers+i)).To(Equal(claim.Replay{Answer: answer}))
	}
}

func testOtherBody(fleet *fleet) {
	fleet.expectProceed(fleet.begin(0, "k", "b", 0))
	refusal := fleet.expectRefused(fleet.begin(1, "k", "c", 1))
	fleet.g.Expect(refusal.Code).To(Equal(call.CodeConflict))
	fleet.g.Expect(refusal.OutcomeOrUnknown()).To(Equal(call.NotRun{}))
	fleet.g.Expect(refusal.RetryAfter).To(BeZero())
}

func testReleased(fleet *fleet) {
	claimed := fleet.expectProceed(fleet.begin(0, "k", "b", 0))
	fleet.entries[0].client.Release(claimed)
	fleet.flush(0)
	fleet.expectProceed(fleet.begin(1, "k", "c", 1))
}

func testUnknownStays(fleet *fleet) {
	claimed := fleet.expectProceed(fleet.begin(0, "k", "b", 0))
	fleet.entries[0].client.Finish(claimed, call.Unknown{}, claim.Answer{})
	fleet.flush(0)
	fleet.entries[0].client.Release(claimed)
	fleet.flush(0)
	refusal := fleet.expectRefused(fleet.begin(1, "k", "b", 1))
	fleet.g.Expect(refusal.OutcomeOrUnknown()).To(Equal(call.Unknown{}))
	fleet.g.Expect(refusal.RetryAfter).To(BeZero())
}

func testAnswerNotKept(fleet *fleet) {
	for i, answer := range []claim.Answer{{Status: 200, Body: make([]byte, 2000)}, {}} {
		key := fmt.Sprint("k", i)
		claimed := fleet.expectProceed(fleet.begin(0, key, "b", 0))
		fleet.entries[0].client.Finish(claimed, call.Run{}, answer)
		fleet.flush(0)
		fleet.g.Expect(fleet.expectRefused(fleet.begin(1, key, "b", 1)).OutcomeOrUnknown()).To(Equal(call.Run{}))
	}
}

func testAnswerLost(fleet *fleet) {
	fleet.expectProceed(fleet.begin(0, "warm", "b", 0))
	fleet.kv.SetFaults(stand.KVFaults{LoseAnswers: 1})
	fleet.expectProceed(fleet.begin(0, "k", "b", 0))
	fleet.g.Expect(fleet.kv.Faults().LoseAnswers).To(BeZero())
	fleet.g.Expect(fleet.expectRefused(fleet.begin(1, "k", "b", 1)).Code).To(Equal(call.CodeConflict))
}

func testWriteLate(fleet *fleet) {
	fleet.expectProceed(fleet.begin(0, "warm", "b", 0))
	fleet.kv.SetFaults(stand.KVFaults{LateWrites: 1, LateDelay: time.Millisecond})
	fleet.expectProceed(fleet.begin(0, "k", "b", 0))
	fleet.kv.WaitLateWrites()
	fleet.g.Expect(fleet.expectRefused(fleet.begin(1, "k", "b", 1)).Code).To(Equal(call.CodeConflict))
}

func testServiceRefuses(fleet *fleet) {
	fleet.kv.SetFaults(stand.KVFaults{Refuse: true})
	refusal := fleet.expectRefused(fleet.begin(0, "k", "b", 0))
	fleet.g.Expect(refusal.Code).To(Equal(call.CodeUnavailable))
	fleet.g.Expect(refusal.OutcomeOrUnknown()).To(Equal(call.NotRun{}))
	fleet.g.Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
	fleet.kv.SetFaults(stand.KVFaults{})
	request := 0
	fleet.g.Eventually(func() claim.Verdict {
		request++
		return fleet.begin(0, "k", "b", request)
	}, waitTimeout).Should(BeAssignableToTypeOf(claim.Proceed{}))
}

func testServiceHangs(fleet *fleet) {
	fleet.expectProceed(fleet.begin(0, "warm", "b", 0))
	fleet.kv.SetFaults(stand.KVFaults{Hang: true})
	ctx, cancel := context.WithCancel(context.Background())
	verdicts := make(chan claim.Verdict, 1)
	before := fleet.kv.Counts().Total()
	go func() { verdicts <- fleet.entries[0].client.Begin(ctx, intent("k", "b", 0)) }()
	fleet.g.Eventually(func() int64 { return fleet.kv.Counts().Total() }, waitTimeout).Should(BeNumerically(">", before))
	cancel()
	var verdict claim.Verdict
	fleet.g.Eventually(verdicts, waitTimeout).Should(Receive(&verdict))
	fleet.g.Expect(fleet.expectRefused(verdict).OutcomeOrUnknown()).To(Equal(call.NotRun{}))
	fleet.kv.SetFaults(stand.KVFaults{})
	// The claim that was abandoned is withdrawn, so that a repeat runs.
	fleet.flush(0)
	fleet.expectProceed(fleet.begin(1, "k", "b", 1))
}

// owner returns the index of the entry that usually writes the claim's shard.
func (fleet *fleet) owner(key string) int {
	shard := claim.NewID("vatuloa", key).Shard(fleetShards)
	first := claim.Candidates(shard, fleet.members, 1)[0]
	for i, member := range fleet.members {
		if member == first {
			return i
		}
	}
	return -1
}

func testCandidateGone(fleet *fleet) {
	owner := fleet.owner("k")
	other := (owner + 1) % fleetEntries
	fleet.expectProceed(fleet.begin(owner, "k", "b", 0))
	fleet.entries[owner].stop()
	fleet.g.Expect(fleet.expectRefused(fleet.begin(other, "k", "b", 1)).Code).To(Equal(call.CodeConflict))
	fleet.expectProceed(fleet.begin(other, "k2", "b", 2))
}

func testOtherLayout(fleet *fleet) {
	fleet.expectProceed(fleet.begin(0, "k", "b", 0))
	other := fleet.start("alone", listen(fleet.g), fleetShards+1)
	defer other.stop()
	fleet.entries = append(fleet.entries, other)
	fleet.members[0], fleet.members[1], fleet.members[2] = claim.Member{Instance: "alone"}, claim.Member{Instance: "alone"}, claim.Member{Instance: "alone"}
	refusal := fleet.expectRefused(fleet.begin(fleetEntries, "k", "b", 1))
	fleet.g.Expect(refusal.Code).To(Equal(call.CodeUnavailable))
	fleet.g.Expect(refusal.OutcomeOrUnknown()).To(Equal(call.NotRun{}))
}

func testNoKey(fleet *fleet) {
	claimed := fleet.expectProceed(fleet.begin(0, "", "b", 0))
	fleet.entries[0].client.Finish(claimed, call.Run{}, claim.Answer{})
	fleet.flush(0)
	fleet.g.Expect(fleet.kv.Counts().Total()).To(BeZero())
}

func testAllReplaced(fleet *fleet) {
	const claims = 30
	for i := range claims {
		fleet.expectProceed(fleet.begin(i%fleetEntries, fmt.Sprint("k", i), "b", 0))
	}
	for i, entry := range fleet.entries {
		entry.stop()
		listener := listen(fleet.g)
		fleet.members[i].Address = listener.Addr().String()
		fleet.entries[i] = fleet.start(fleet.members[i].Instance, listener, fleetShards)
	}
	for i := range claims {
		fleet.g.Expect(fleet.expectRefused(fleet.begin(i%fleetEntries, fmt.Sprint("k", i), "b", 1)).Code).To(Equal(call.CodeConflict))
	}
}
