package spread

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/store"
	"github.com/basilkeel/basilkeel/wire"
)

// callTimeout limits a call to a peer.
const callTimeout = 2 * time.Second

// perform starts an action. The caller holds the mutex, which keeps messages to
// one peer in order.
func (service *Service) perform(action Action) {
	switch action := action.(type) {
	case ReadStore:
		service.start(func(ctx context.Context) { service.readStore(ctx, action.SentAt) })
	case WatchStore:
		service.watchStore(action.On)
	case Fetch:
		service.start(func(ctx context.Context) { service.fetch(ctx, action.Peer) })
	case Follow:
		service.follow(action.Peer)
	case Unfollow:
		service.unfollow(action.Peer)
	case SendAnchor:
		if peerStream := service.following[action.Peer]; peerStream != nil {
			replace(peerStream.anchors, action)
		}
	case SendNews:
		if peerStream := service.followers[action.Follower]; peerStream != nil {
			replace(peerStream.news, action)
		}
	case DropFollower:
		if peerStream := service.followers[action.Follower]; peerStream != nil {
			delete(service.followers, action.Follower)
			peerStream.cancel()
		}
	case Exchange:
		service.start(func(ctx context.Context) { service.exchange(ctx, action) })
	}
}

// start runs work in a goroutine with a context that ends when the service
// stops. The caller holds the mutex.
func (service *Service) start(work func(ctx context.Context)) {
	runContext := service.runContext
	service.goroutines.Go(func() { work(runContext) })
}

// readStore reads the root's version. A read that is canceled because this
// service stops is not reported to the node.
func (service *Service) readStore(ctx context.Context, sentAt time.Duration) {
	timeoutContext, cancel := context.WithTimeout(ctx, ReadTimeout)
	defer cancel()
	service.instruments.reads.Inc(1)
	root, err := service.config.Repository.Root(timeoutContext)
	if ctx.Err() != nil {
		return
	}
	var codecError *config.CodecError
	if errors.As(err, &codecError) {
		// The platform's service answered, so this is no evidence of an outage.
		event.RootUnreadable.Log(service.config.Logger, logrus.Fields{"error": err})
		return
	}
	if err != nil {
		service.instruments.readFailures.Inc(1)
		service.step(StoreRead{SentAt: sentAt})
		return
	}
	if inForce := service.history.latest().Version(); root.Version() < inForce {
		event.StoreBehind.Log(service.config.Logger, logrus.Fields{"stored": root.Version(), "inForce": inForce})
	}
	service.step(StoreRead{SentAt: sentAt, Reached: true, Version: root.Version()})
}

// watchStore starts or stops the watch of the root. The caller holds the mutex.
func (service *Service) watchStore(on bool) {
	if service.cancelWatch != nil {
		service.cancelWatch()
		service.cancelWatch = nil
		event.RelayEnded.Log(service.config.Logger, nil)
	}
	if !on {
		return
	}
	event.RelayBegan.Log(service.config.Logger, nil)
	ctx, cancel := context.WithCancel(service.runContext)
	service.cancelWatch = cancel
	service.goroutines.Go(func() { service.watch(ctx) })
}

// watch reports each change of the root to the node. After a failure it waits
// for readPeriod; meanwhile the periodic reads detect changes.
func (service *Service) watch(ctx context.Context) {
	var revision store.Revision
	for ctx.Err() == nil {
		sentAt := service.now()
		root, err := service.config.Repository.Watch(ctx, revision)
		if err != nil {
			select {
			case <-ctx.Done():
			case <-service.config.Clock.After(readPeriod):
			}
			continue
		}
		revision = root.Revision()
		service.step(StoreRead{SentAt: sentAt, Reached: true, Version: root.Version()})
	}
}

// fetch loads the configuration from peer, or from the platform's service if
// peer is empty, and puts it in force.
func (service *Service) fetch(ctx context.Context, peer names.Instance) {
	service.instruments.fetches.Inc(1)
	timeoutContext, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	bundle, err := service.load(timeoutContext, peer)
	if err != nil {
		event.ConfigurationFetchFailed.Log(service.config.Logger, logrus.Fields{"peer": peer, "error": err})
		service.step(Fetched{})
		return
	}
	snapshot, err := bundle.Snapshot()
	if err != nil {
		event.ConfigurationFetchFailed.Log(service.config.Logger, logrus.Fields{"peer": peer, "error": err})
		service.step(Fetched{})
		return
	}
	service.install(bundle, snapshot)
}

// load returns the configuration of peer, or of the platform's service if peer is
// empty. A peer sends only the difference from the version in force here, if it
// still has that version.
func (service *Service) load(ctx context.Context, peer names.Instance) (*config.Bundle, error) {
	if peer == "" {
		return service.config.Repository.Load(ctx)
	}
	client, err := service.client(peer)
	if err != nil {
		return nil, err
	}
	base := service.history.latest()
	update, err := requestUpdate(ctx, client, base.Version())
	if err != nil {
		return nil, err
	}
	if update.Base == 0 {
		base = config.EmptyBundle()
	}
	return update.Apply(base)
}

// requestUpdate asks client for an update from version base.
func requestUpdate(ctx context.Context, client wire.SpreadClient, base config.Version) (config.Update, error) {
	// Canceling the context releases the stream if an error leaves it half read.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := client.Update(ctx, &wire.UpdateRequest{Base: int64(base)})
	if err != nil {
		return config.Update{}, err
	}
	return receiveUpdate(stream)
}

// exchange compares versions with a peer. A failed call has no result.
func (service *Service) exchange(ctx context.Context, action Exchange) {
	client, err := service.client(action.Peer)
	if err != nil {
		return
	}
	timeoutContext, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := client.Exchange(timeoutContext, &wire.ExchangeRequest{
		Instance: string(service.config.Self.Instance),
		Version:  int64(service.history.latest().Version()),
	})
	if err != nil {
		return
	}
	service.step(NewsReceived{From: action.Peer, Anchor: action.Anchor, News: decodeNews(reply)})
}
