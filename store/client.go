package store

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/basilkeel/basilkeel/plat"
	"github.com/basilkeel/basilkeel/sent"
)

const (
	defaultCallTimeout = 2 * time.Second
	defaultWatchWait   = 30 * time.Second

	// maxReplyBytes is the maximum size of one reply; a list contains many values.
	maxReplyBytes = 64 * MaxValueBytes

	reconnectBase   = 50 * time.Millisecond
	reconnectMax    = time.Second
	reconnectFactor = 1.6
	reconnectJitter = 0.2

	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 5 * time.Second
)

// ClientConfig configures a [Client].
type ClientConfig struct {
	// Address is the host and port of the service.
	Address string
	// Credentials are the transport credentials; nil means plaintext.
	Credentials credentials.TransportCredentials
	// CallTimeout is the timeout of each call; zero means two seconds.
	CallTimeout time.Duration
	// WatchWait is the maximum duration of one long poll of a watch; zero means
	// thirty seconds.
	WatchWait time.Duration
}

// Client is a [Store] that calls the service over gRPC. It reconnects
// automatically and never retries a call.
type Client struct {
	config ClientConfig
	conn   *grpc.ClientConn
	remote plat.KeyValueClient
}

var _ Store = (*Client)(nil)

// NewClient returns a client, which connects on its first call.
func NewClient(config ClientConfig) (*Client, error) {
	if config.CallTimeout <= 0 {
		config.CallTimeout = defaultCallTimeout
	}
	if config.WatchWait <= 0 {
		config.WatchWait = defaultWatchWait
	}
	if config.Credentials == nil {
		config.Credentials = insecure.NewCredentials()
	}
	conn, err := grpc.NewClient(
		config.Address,
		grpc.WithTransportCredentials(config.Credentials),
		grpc.WithStatsHandler(sent.Handler{}),
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxReplyBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  reconnectBase,
				Multiplier: reconnectFactor,
				Jitter:     reconnectJitter,
				MaxDelay:   reconnectMax,
			},
			MinConnectTimeout: config.CallTimeout,
		}),
	)
	if err != nil {
		return nil, err
	}
	return &Client{config: config, conn: conn, remote: plat.NewKeyValueClient(conn)}, nil
}

// Close closes the connection. Calls in flight fail.
func (client *Client) Close() error { return client.conn.Close() }

// Get implements [Store].
func (client *Client) Get(ctx context.Context, key string) (Entry, bool, error) {
	remoteCall := newRemoteCall(ctx, "get", key, client.config.CallTimeout)
	defer remoteCall.end()
	reply, err := client.remote.Get(remoteCall.ctx, &plat.GetRequest{Key: key})
	if err := remoteCall.readError(err, reply.GetFailure()); err != nil {
		return Entry{}, false, err
	}
	if reply.GetEntry() == nil {
		return Entry{}, false, nil
	}
	return entryFromWire(reply.GetEntry()), true, nil
}

// List implements [Store].
func (client *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	remoteCall := newRemoteCall(ctx, "list", prefix, client.config.CallTimeout)
	defer remoteCall.end()
	reply, err := client.remote.List(remoteCall.ctx, &plat.ListRequest{Prefix: prefix})
	if err := remoteCall.readError(err, reply.GetFailure()); err != nil {
		return nil, err
	}
	return entriesFromWire(reply.GetEntries()), nil
}

// Swap implements [Store].
func (client *Client) Swap(ctx context.Context, swap Swap) (Revision, error) {
	if len(swap.Value) > MaxValueBytes {
		return 0, &SizeError{Key: swap.Key, Bytes: len(swap.Value)}
	}
	remoteCall := newRemoteCall(ctx, "swap", swap.Key, client.config.CallTimeout)
	defer remoteCall.end()
	remoteCall.expected, remoteCall.lease, remoteCall.valueBytes = swap.Expected, swap.Lease, len(swap.Value)
	reply, err := client.remote.Swap(remoteCall.ctx, &plat.SwapRequest{
		Key:      swap.Key,
		Expected: int64(swap.Expected),
		Value:    swap.Value,
		Lease:    swap.Lease.Number,
	})
	if err := remoteCall.writeError(err, reply.GetFailure()); err != nil {
		return 0, err
	}
	if reply.GetRevision() <= 0 {
		return 0, remoteCall.unknown(errNoRevision)
	}
	return Revision(reply.GetRevision()), nil
}

// Delete implements [Store].
func (client *Client) Delete(ctx context.Context, key string, expected Revision) error {
	remoteCall := newRemoteCall(ctx, "delete", key, client.config.CallTimeout)
	defer remoteCall.end()
	remoteCall.expected = expected
	reply, err := client.remote.Delete(remoteCall.ctx, &plat.DeleteRequest{Key: key, Expected: int64(expected)})
	return remoteCall.writeError(err, reply.GetFailure())
}

// Watch implements [Store].
func (client *Client) Watch(ctx context.Context, prefix string, after Revision) ([]Entry, Revision, error) {
	for {
		entries, revision, err := client.poll(ctx, prefix, after)
		if err != nil {
			return nil, after, err
		}
		if len(entries) > 0 {
			return entries, revision, nil
		}
		after = max(after, revision)
	}
}

// poll makes one long poll for changes under prefix.
func (client *Client) poll(ctx context.Context, prefix string, after Revision) ([]Entry, Revision, error) {
	remoteCall := newRemoteCall(ctx, "watch", prefix, client.config.WatchWait+client.config.CallTimeout)
	defer remoteCall.end()
	reply, err := client.remote.Watch(remoteCall.ctx, &plat.WatchRequest{
		Prefix:     prefix,
		After:      int64(after),
		WaitMillis: client.config.WatchWait.Milliseconds(),
	})
	if err := remoteCall.readError(err, reply.GetFailure()); err != nil {
		return nil, after, err
	}
	return entriesFromWire(reply.GetEntries()), Revision(reply.GetRevision()), nil
}

// Grant implements [Store]. If the reply is lost, the granted lease expires
// after its TTL.
func (client *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	remoteCall := newRemoteCall(ctx, "grant", "", client.config.CallTimeout)
	defer remoteCall.end()
	reply, err := client.remote.Grant(remoteCall.ctx, &plat.GrantRequest{TtlMillis: ttl.Milliseconds()})
	if err := remoteCall.writeError(err, reply.GetFailure()); err != nil {
		return LeaseID{}, err
	}
	if reply.GetLease() <= 0 {
		return LeaseID{}, remoteCall.unknown(errNoLease)
	}
	return LeaseID{Number: reply.GetLease()}, nil
}

// Renew implements [Store].
func (client *Client) Renew(ctx context.Context, lease LeaseID) error {
	remoteCall := newRemoteCall(ctx, "renew", "", client.config.CallTimeout)
	defer remoteCall.end()
	remoteCall.lease = lease
	reply, err := client.remote.Renew(remoteCall.ctx, &plat.RenewRequest{Lease: lease.Number})
	return remoteCall.writeError(err, reply.GetFailure())
}

// Revoke implements [Store].
func (client *Client) Revoke(ctx context.Context, lease LeaseID) error {
	remoteCall := newRemoteCall(ctx, "revoke", "", client.config.CallTimeout)
	defer remoteCall.end()
	remoteCall.lease = lease
	reply, err := client.remote.Revoke(remoteCall.ctx, &plat.RevokeRequest{Lease: lease.Number})
	return remoteCall.writeError(err, reply.GetFailure())
}
