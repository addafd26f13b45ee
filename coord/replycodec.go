package coord

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding"
	grpcgzip "google.golang.org/grpc/encoding/gzip"
	protocodec "google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"

	"github.com/basilkeel/basilkeel/store"
	"github.com/basilkeel/basilkeel/wire"
)

// compressedReply is a reply to a report that is compressed in parts, as members of a gzip
// file may be joined and so may the encodings of messages: the reply without changes, and
// blocks of the changes of the platform's keys, which many replies have in common.
type compressedReply struct {
	// CoordExchangeReply is the reply without changes.
	*wire.CoordExchangeReply
	// changes are members of a gzip file.
	changes [][]byte
}

// replyParts takes the compressed changes of the reply to a call.
type replyParts struct {
	shared  *sharedChanges
	members [][]byte
}

// replyPartsKey is the key of a call's replyParts in its context.
type replyPartsKey struct{}

// ServerOptions returns the options of a gRPC server for a [Server]. With them, changes that
// many replies have in common are compressed only once. Without them it works the same.
func ServerOptions() []grpc.ServerOption {
	shared := newSharedChanges()
	return []grpc.ServerOption{
		grpc.ForceServerCodecV2(replyCodec{CodecV2: encoding.GetCodecV2(protocodec.Name)}),
		grpc.ChainUnaryInterceptor(func(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
			parts := &replyParts{shared: shared}
			reply, err := handler(context.WithValue(ctx, replyPartsKey{}, parts), request)
			if exchanged, isExchange := reply.(*wire.CoordExchangeReply); isExchange && err == nil && parts.members != nil {
				return &compressedReply{CoordExchangeReply: exchanged, changes: parts.members}, nil
			}
			return reply, err
		}),
	}
}

// shareChanges reports whether the changes of the reply to a call are sent apart from it. It
// fails if they cannot be encoded.
func shareChanges(ctx context.Context, entries []store.Entry) (bool, error) {
	parts, taken := ctx.Value(replyPartsKey{}).(*replyParts)
	if !taken || len(entries) < minSharedChanges || !acceptsGzip(ctx) {
		return false, nil
	}
	members, err := parts.shared.members(entries)
	parts.members = members
	return err == nil, err
}

// acceptsGzip reports whether the reply to a call may be compressed, and has it sent as a
// compressed one.
func acceptsGzip(ctx context.Context) bool { return grpc.SetSendCompressor(ctx, grpcgzip.Name) == nil }

// replyCodec encodes each compressedReply as members of a gzip file and all else as usual.
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
	encoded := mem.BufferSlice{mem.SliceBuffer(own)}
	for _, member := range reply.changes {
		encoded = append(encoded, mem.SliceBuffer(member))
	}
	return encoded, nil
}
