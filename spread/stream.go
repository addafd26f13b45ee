package spread

import (
	"context"
	"errors"
	"io"

	"google.golang.org/grpc"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

// collectUpdate reads the head and the parts of an update to their end.
func collectUpdate(stream grpc.ServerStreamingClient[wire.UpdateReply]) (config.Update, error) {
	var update config.Update
	for {
		reply, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return update, nil
		}
		if err != nil {
			return config.Update{}, err
		}
		switch reply := reply.GetReply().(type) {
		case *wire.UpdateReply_Head:
			update = decodeUpdateHead(reply.Head)
		case *wire.UpdateReply_Part:
			update.Parts = append(update.Parts, decodeUpdatePart(reply.Part))
		}
	}
}

// follow starts to follow a peer. The caller holds the lock.
func (service *Service) follow(peer names.Instance) {
	service.unfollow(peer)
	ctx, cancel := context.WithCancel(service.run)
	stream := newFollowing(cancel)
	service.following[peer] = stream
	service.running.Go(func() {
		defer cancel()
		service.runFollow(ctx, peer, stream)
		service.followEnded(peer, stream)
	})
}

// unfollow ends the stream to a peer. The caller holds the lock.
func (service *Service) unfollow(peer names.Instance) {
	if stream := service.following[peer]; stream != nil {
		delete(service.following, peer)
		stream.cancel()
	}
}

// followEnded tells the node that stream ended, unless it was given up.
func (service *Service) followEnded(peer names.Instance, stream *following) {
	service.mutex.Lock()
	current := service.following[peer] == stream
	if current {
		delete(service.following, peer)
	}
	service.mutex.Unlock()
	if current {
		service.step(FollowEnded{Peer: peer})
	}
}

// runFollow sends anchors and receives news until the stream ends.
func (service *Service) runFollow(ctx context.Context, peer names.Instance, stream *following) {
	client, err := service.client(peer)
	if err != nil {
		return
	}
	call, err := client.Follow(ctx)
	if err != nil {
		return
	}
	service.running.Go(func() { service.sendAnchors(ctx, call, stream) })
	for {
		message, err := call.Recv()
		if err != nil {
			return
		}
		service.step(NewsReceived{From: peer, Anchor: micros(message.GetAnchorMicros()), News: decodeNews(message)})
	}
}

func (service *Service) sendAnchors(ctx context.Context, call wire.Spread_FollowClient, stream *following) {
	for {
		select {
		case <-ctx.Done():
			return
		case anchor := <-stream.anchors:
			err := call.Send(&wire.FollowAnchor{
				Instance:     string(service.config.Self.Instance),
				AnchorMicros: floorMicros(anchor.Anchor),
				Version:      int64(anchor.Version),
				Standing:     encodeStanding(anchor.VersionCounts),
			})
			if err != nil {
				return
			}
		}
	}
}
