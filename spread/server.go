package spread

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

// Follow implements [wire.SpreadServer]. It receives anchors from a follower and
// sends it news.
func (service *Service) Follow(call wire.Spread_FollowServer) error {
	first, err := call.Recv()
	if err != nil {
		return err
	}
	follower := names.Instance(first.GetInstance())
	ctx, cancel := context.WithCancel(call.Context())
	defer cancel()
	peerStream := newPeerStream(cancel)
	if !service.addFollower(follower, peerStream) {
		return status.Error(codes.Unavailable, "not running")
	}
	defer service.removeFollower(follower, peerStream)
	service.step(decodeAnchor(first))
	go service.receiveAnchors(call, cancel)
	for {
		select {
		case <-ctx.Done():
			return status.Error(codes.Unavailable, "no longer followed")
		case news := <-peerStream.news:
			if err := call.Send(encodeNews(news.AnchorMicros, news.News)); err != nil {
				return err
			}
		}
	}
}

// addFollower registers peerStream as the stream to follower and cancels an older
// one. It returns false if the service is not running.
func (service *Service) addFollower(follower names.Instance, peerStream *peerStream) bool {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.runContext == nil {
		return false
	}
	if older := service.followers[follower]; older != nil {
		older.cancel()
	}
	service.followers[follower] = peerStream
	return true
}

// removeFollower unregisters peerStream and reports the follower's departure to
// the node, unless a newer stream has replaced it or the node has dropped it.
func (service *Service) removeFollower(follower names.Instance, peerStream *peerStream) {
	service.mutex.Lock()
	current := service.followers[follower] == peerStream
	if current {
		delete(service.followers, follower)
	}
	service.mutex.Unlock()
	if current {
		service.step(FollowerLeft{Follower: follower})
	}
}

// receiveAnchors passes anchors to the node until the call ends, and then cancels
// the stream.
func (service *Service) receiveAnchors(call wire.Spread_FollowServer, cancel context.CancelFunc) {
	defer cancel()
	for {
		anchor, err := call.Recv()
		if err != nil {
			return
		}
		service.step(decodeAnchor(anchor))
	}
}

func decodeAnchor(anchor *wire.FollowAnchor) AnchorReceived {
	return AnchorReceived{
		Follower:      names.Instance(anchor.GetInstance()),
		AnchorMicros:  anchor.GetAnchorMicros(),
		Version:       config.Version(anchor.GetVersion()),
		VersionCounts: decodeVersionCounts(anchor.GetStanding()),
	}
}

// Exchange implements [wire.SpreadServer]. It records the caller's version and
// replies with news.
func (service *Service) Exchange(_ context.Context, request *wire.ExchangeRequest) (*wire.SpreadNews, error) {
	arrived := service.now()
	service.step(VersionReported{From: names.Instance(request.GetInstance()), Version: config.Version(request.GetVersion())})
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return encodeNews(request.GetAnchorMicros(), service.node.News(arrived)), nil
}

// Update implements [wire.SpreadServer]. It sends the difference from the
// caller's version, or the whole configuration if that version is not kept.
func (service *Service) Update(request *wire.UpdateRequest, stream grpc.ServerStreamingServer[wire.UpdateReply]) error {
	base := service.history.base(config.Version(request.GetBase()))
	update := config.NewUpdate(base, service.history.latest())
	if err := stream.Send(encodeUpdateHead(update)); err != nil {
		return err
	}
	for _, part := range update.Parts {
		if err := stream.Send(encodeUpdatePart(part)); err != nil {
			return err
		}
	}
	return nil
}

// Announce implements [wire.SpreadServer]. A reply means that this instance knows
// of the version, not that the version is in force. An instance that is not
// running does not record the version, and returns an error unless it already
// knows it.
func (service *Service) Announce(_ context.Context, request *wire.AnnounceRequest) (*wire.AnnounceReply, error) {
	version := config.Version(request.GetVersion())
	service.step(VersionReported{From: names.Instance(request.GetInstance()), Version: version})
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.node.LatestKnown() < version {
		return nil, status.Error(codes.Unavailable, "not running")
	}
	return &wire.AnnounceReply{}, nil
}

// Standing implements [wire.SpreadServer]. It returns the node's version counts.
func (service *Service) Standing(context.Context, *wire.StandingRequest) (*wire.StandingReply, error) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return &wire.StandingReply{Standing: encodeVersionCounts(service.node.VersionCounts())}, nil
}
