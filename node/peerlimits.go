package node

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"
	"google.golang.org/protobuf/proto"

	"github.com/basilkeel/basilkeel/accept"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/memory"
)

const (
	// peerHeaderBytes bounds the metadata of a call. Own processes send less than 1 KiB.
	peerHeaderBytes = 16 << 10
	// peerStreams bounds the calls in progress on a connection. Callers wait for others to end.
	peerStreams = 1000
	// peerHandshakeTimeout bounds the time until a connection is ready for calls.
	peerHandshakeTimeout = 5 * time.Second
	// callBytes is what a call in progress takes without its message.
	callBytes = 16 << 10
)

// boundPeers returns options that bound what a client of a gRPC server can make it hold. The
// server's listener is one of table, for opaque connections.
func boundPeers(table *accept.Table, budget *memory.Budget, clock *clock.Service) []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxHeaderListSize(peerHeaderBytes), grpc.MaxConcurrentStreams(peerStreams), grpc.ConnectionTimeout(peerHandshakeTimeout),
		grpc.InTapHandle(func(ctx context.Context, _ *tap.Info) (context.Context, error) {
			account := budget.NewAccount()
			if !account.TryHoldConnection(callBytes, 0) {
				return nil, status.Error(codes.ResourceExhausted, "no memory for another call")
			}
			context.AfterFunc(ctx, func() { account.Close(clock.Now()) })
			return ctx, nil
		}),
		grpc.ChainUnaryInterceptor(func(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
			recordMessage(ctx, table, request)
			return handler(ctx, request)
		}),
		grpc.ChainStreamInterceptor(func(server any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
			return handler(server, &recordingStream{ServerStream: stream, table: table})
		}),
	}
}

// recordMessage records that a message of a call has arrived.
func recordMessage(ctx context.Context, table *accept.Table, received any) {
	caller, known := peer.FromContext(ctx)
	if message, ok := received.(proto.Message); ok && known && caller.LocalAddr != nil {
		table.Touch(caller.LocalAddr, caller.Addr, int64(proto.Size(message)))
	}
}

// recordingStream records the messages that arrive.
type recordingStream struct {
	grpc.ServerStream
	table *accept.Table
}

// RecvMsg implements [grpc.ServerStream].
func (recordingStream *recordingStream) RecvMsg(message any) error {
	if err := recordingStream.ServerStream.RecvMsg(message); err != nil {
		return err
	}
	recordMessage(recordingStream.Context(), recordingStream.table, message)
	return nil
}
