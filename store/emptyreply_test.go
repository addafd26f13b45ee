package store_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc"

	"github.com/basilkeel/basilkeel/plat"
	"github.com/basilkeel/basilkeel/store"
)

// failingKeyValue refuses every call for a reason that this version does not know.
type failingKeyValue struct {
	plat.UnimplementedKeyValueServer
}

func (failingKeyValue) Get(context.Context, *plat.GetRequest) (*plat.GetReply, error) {
	return &plat.GetReply{Failure: &plat.Failure{}}, nil
}

func (failingKeyValue) List(context.Context, *plat.ListRequest) (*plat.ListReply, error) {
	return &plat.ListReply{Failure: &plat.Failure{}}, nil
}

func (failingKeyValue) Watch(context.Context, *plat.WatchRequest) (*plat.WatchReply, error) {
	return &plat.WatchReply{Failure: &plat.Failure{}, Entries: []*plat.Entry{{Key: "a"}}}, nil
}

func (failingKeyValue) Swap(context.Context, *plat.SwapRequest) (*plat.SwapReply, error) {
	return &plat.SwapReply{Failure: &plat.Failure{}}, nil
}

func (failingKeyValue) Delete(context.Context, *plat.DeleteRequest) (*plat.DeleteReply, error) {
	return &plat.DeleteReply{Failure: &plat.Failure{}}, nil
}

func (failingKeyValue) Grant(context.Context, *plat.GrantRequest) (*plat.GrantReply, error) {
	return &plat.GrantReply{Failure: &plat.Failure{}}, nil
}

func (failingKeyValue) Renew(context.Context, *plat.RenewRequest) (*plat.RenewReply, error) {
	return &plat.RenewReply{Failure: &plat.Failure{}}, nil
}

func (failingKeyValue) Revoke(context.Context, *plat.RevokeRequest) (*plat.RevokeReply, error) {
	return &plat.RevokeReply{Failure: &plat.Failure{}}, nil
}

// emptyKeyValue answers writes with replies that state nothing.
type emptyKeyValue struct {
	plat.UnimplementedKeyValueServer
}

func (emptyKeyValue) Swap(context.Context, *plat.SwapRequest) (*plat.SwapReply, error) {
	return &plat.SwapReply{}, nil
}

func (emptyKeyValue) Grant(context.Context, *plat.GrantRequest) (*plat.GrantReply, error) {
	return &plat.GrantReply{}, nil
}

func newClientOf(t *testing.T, keyValue plat.KeyValueServer) *store.Client {
	t.Helper()
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := grpc.NewServer()
	plat.RegisterKeyValueServer(server, keyValue)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	client, err := store.NewClient(store.ClientConfig{Address: listener.Addr().String(), CallTimeout: time.Minute})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = client.Close() })
	return client
}

// TestFailuresOfUnknownReasonAreNoSuccess checks a service that is newer than the client.
func TestFailuresOfUnknownReasonAreNoSuccess(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	client := newClientOf(t, failingKeyValue{})
	var unavailableError *store.UnavailableError
	_, _, err := client.Get(ctx, "a")
	g.Expect(errors.As(err, &unavailableError)).To(BeTrue(), "get: %v", err)
	_, err = client.List(ctx, "a")
	g.Expect(errors.As(err, &unavailableError)).To(BeTrue(), "list: %v", err)
	_, _, err = client.Watch(ctx, "a", 1)
	g.Expect(errors.As(err, &unavailableError)).To(BeTrue(), "watch: %v", err)
	_, swapErr := client.Swap(ctx, store.Swap{Key: "a"})
	_, grantErr := client.Grant(ctx, time.Minute)
	for _, err := range []error{swapErr, client.Delete(ctx, "a", 1), grantErr, client.Renew(ctx, store.LeaseID{Number: 1}), client.Revoke(ctx, store.LeaseID{Number: 1})} {
		var unknownError *store.UnknownError
		g.Expect(errors.As(err, &unknownError)).To(BeTrue(), "%v", err)
	}
}

// TestEmptyRepliesToWritesAreNoSuccess checks a write without a revision and a lease
// without a number, which would mean that entries have none and never end.
func TestEmptyRepliesToWritesAreNoSuccess(t *testing.T) {
	g := NewWithT(t)
	client := newClientOf(t, emptyKeyValue{})
	var unknownError *store.UnknownError
	_, err := client.Swap(context.Background(), store.Swap{Key: "a"})
	g.Expect(errors.As(err, &unknownError)).To(BeTrue(), "swap: %v", err)
	_, err = client.Grant(context.Background(), time.Minute)
	g.Expect(errors.As(err, &unknownError)).To(BeTrue(), "grant: %v", err)
}
