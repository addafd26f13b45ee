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

// receiveUpdate reads an update, a head and its parts, until stream ends.
func receiveUpdate(stream grpc.ServerStreamingClient[wire.UpdateReply]) (config.Update, error) {
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

// follow opens a stream to a peer and closes an older one. The caller holds the
// mutex.
func (service *Service) follow(peer names.Instance) {
	service.unfollow(peer)
	ctx, cancel := context.WithCancel(service.runContext)
	peerStream := newPeerStream(cancel)
	service.following[peer] = peerStream
	service.goroutines.Go(func() {
		defer cancel()
		service.runFollow(ctx, peer, peerStream)
		service.followEnded(peer, peerStream)
	})
}

// unfollow closes the stream to a peer. The caller holds the mutex.
func (service *Service) unfollow(peer names.Instance) {
	if peerStream := service.following[peer]; peerStream != nil {
		delete(service.following, peer)
		peerStream.cancel()
	}
}

// followEnded reports to the node that peerStream ended, unless unfollow closed
// it.
func (service *Service) followEnded(peer names.Instance, peerStream *peerStream) {
	service.mutex.Lock()
	current := service.following[peer] == peerStream
	if current {
		delete(service.following, peer)
	}
	service.mutex.Unlock()
	if current {
		service.step(FollowEnded{Peer: peer})
	}
}

// runFollow sends anchors and receives news until the stream ends.
func (service *Service) runFollow(ctx context.Context, peer names.Instance, peerStream *peerStream) {
	client, err := service.client(peer)
	if err != nil {
		return
	}
	call, err := client.Follow(ctx)
	if err != nil {
		return
	}
	service.goroutines.Go(func() { service.sendAnchors(ctx, call, peerStream) })
	for {
		message, err := call.Recv()
		if err != nil {
			return
		}
		service.step(NewsReceived{From: peer, Anchor: fromMicros(message.GetAnchorMicros()), News: decodeNews(message)})
	}
}

// sendAnchors sends the anchors queued in peerStream until ctx ends or a send
// fails.
func (service *Service) sendAnchors(ctx context.Context, call wire.Spread_FollowClient, peerStream *peerStream) {
	for {
		select {
		case <-ctx.Done():
			return
		case anchor := <-peerStream.anchors:
			err := call.Send(&wire.FollowAnchor{
				Instance:     string(service.config.Self.Instance),
				AnchorMicros: floorMicros(anchor.Anchor),
				Version:      int64(anchor.Version),
				Standing:     encodeVersionCounts(anchor.VersionCounts),
			})
			if err != nil {
				return
			}
		}
	}
}
