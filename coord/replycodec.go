package coord

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding"
	grpcgzip "google.golang.org/grpc/encoding/gzip"
	protocodec "google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"

	"github.com/basilkeel/basilkeel/wire"
)

// compressedReply is a reply to a report that is compressed in two parts, as members of a gzip
// file may be joined and so may the encodings of two messages: the reply without changes, and
// the changes of the platform's keys, which many replies have in common.
type compressedReply struct {
	// CoordExchangeReply is the reply without changes.
	*wire.CoordExchangeReply
	// changes is a member of a gzip file.
	changes []byte
}

// ServerOptions returns the options of a gRPC server for a [Server]. With them, changes that
// many replies have in common are compressed only once. Without them it works the same.
func ServerOptions() []grpc.ServerOption {
	shared := &sharedChanges{}
	return []grpc.ServerOption{
		grpc.ForceServerCodecV2(replyCodec{CodecV2: encoding.GetCodecV2(protocodec.Name)}),
		grpc.ChainUnaryInterceptor(func(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
			reply, err := handler(ctx, request)
			exchanged, isExchange := reply.(*wire.CoordExchangeReply)
			if err != nil || !isExchange || len(exchanged.GetChanges()) < minSharedChanges || !acceptsGzip(ctx) {
				return reply, err
			}
			changes, err := shared.member(exchanged.GetChanges())
			if err != nil {
				return nil, err
			}
			exchanged.Changes = nil
			return &compressedReply{CoordExchangeReply: exchanged, changes: changes}, nil
		}),
	}
}

// acceptsGzip reports whether the reply to a call may be compressed, and has it sent as a
// compressed one.
func acceptsGzip(ctx context.Context) bool { return grpc.SetSendCompressor(ctx, grpcgzip.Name) == nil }

// replyCodec encodes each compressedReply as gzip files and all else as usual.
type replyCodec struct{ encoding.CodecV2 }

// Marshal implements [encoding.CodecV2].
func (replyCodec replyCodec) Marshal(message any) (mem.BufferSlice, error) {
	reply, isCompressed := message.(*compressedReply)
	if !isCompressed {
		return replyCodec.CodecV2.Marshal(message)
	}
	own, err := ownMembers.encode(reply.CoordExchangeReply)
	if err != nil {
		return nil, err
	}
	return mem.BufferSlice{mem.SliceBuffer(own), mem.SliceBuffer(reply.changes)}, nil
}
