package node

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/reply"
)

// guardHandler returns a handler that closes the connection if handler writes no response
// or panics. It logs panics.
func guardHandler(handler http.Handler, log logrus.FieldLogger) http.Handler {
	return reply.Guard(handler, func(fault any, stack []byte) { logPanic(log, fault, stack) })
}

func logPanic(log logrus.FieldLogger, fault any, stack []byte) {
	event.HandlerPanicked.Log(log, logrus.Fields{"cause": fmt.Sprint(fault), "stack": string(stack)})
}

// guardOptions returns options for a gRPC server whose calls fail if their handler panics
// or returns neither a reply nor an error. Without them a panic ends the process, and an
// absent reply is sent as an empty one.
func guardOptions(log logrus.FieldLogger) []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.ChainUnaryInterceptor(func(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (reply any, err error) {
			defer recoverCall(log, info.FullMethod, &err)
			reply, err = handler(ctx, request)
			if message, ok := reply.(proto.Message); err == nil && (!ok || !message.ProtoReflect().IsValid()) {
				return nil, status.Errorf(codes.Internal, "%s returned no reply", info.FullMethod)
			}
			return reply, err
		}),
		grpc.ChainStreamInterceptor(func(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) (err error) {
			defer recoverCall(log, info.FullMethod, &err)
			return handler(server, stream)
		}),
	}
}

// recoverCall ends a panic and sets err, as the call may have had an effect. It has to be
// deferred.
func recoverCall(log logrus.FieldLogger, method string, err *error) {
	if fault := recover(); fault != nil {
		logPanic(log, fault, debug.Stack())
		*err = status.Errorf(codes.Internal, "%s panicked", method)
	}
}
