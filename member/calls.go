package member

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/basilkeel/basilkeel/wire"
)

// Probe implements [wire.MembersServer].
func (service *Service) Probe(_ context.Context, request *wire.ProbeRequest) (*wire.ProbeReply, error) {
	return encodeReply(service.step(ProbeReceived{Probe: decodeProbe(request)})), nil
}

// Relay implements [wire.MembersServer]. It probes only addresses of members in
// the current view.
func (service *Service) Relay(ctx context.Context, request *wire.RelayRequest) (*wire.ProbeReply, error) {
	if !service.isMember(request.GetAddress()) {
		return nil, status.Error(codes.NotFound, "no member has this address")
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	client, err := service.links.client(request.GetAddress(), service.config.Clock.Now())
	if err != nil {
		return nil, err
	}
	return client.Probe(ctx, request.GetProbe())
}

// Push implements [wire.MembersServer].
func (service *Service) Push(_ context.Context, request *wire.PushRequest) (*wire.PushReply, error) {
	service.step(PushReceived{Records: decodeRecords(request.GetRecords())})
	return &wire.PushReply{}, nil
}

func (service *Service) isMember(address string) bool {
	for _, member := range service.Current().Members() {
		if member.Address() == address {
			return true
		}
	}
	return false
}

// probe sends a probe and passes the reply to the node. Errors are ignored
// because the node detects a missing reply by its own timeout.
func (service *Service) probe(ctx context.Context, action SendProbe) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := service.links.client(action.Address, service.config.Clock.Now())
	if err != nil {
		return
	}
	service.gauges.probes.Mark(1)
	reply, err := client.Probe(ctx, encodeProbe(action.Probe))
	if err != nil {
		return
	}
	service.step(ReplyReceived{Sequence: action.Sequence, Reply: decodeReply(reply)})
}

// relay asks a peer to probe another and passes the reply to the node. Errors
// are ignored as in probe.
func (service *Service) relay(ctx context.Context, action SendRelay) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	client, err := service.links.client(action.Via, service.config.Clock.Now())
	if err != nil {
		return
	}
	service.gauges.relays.Mark(1)
	reply, err := client.Relay(ctx, &wire.RelayRequest{Address: action.Address, Probe: encodeProbe(action.Probe)})
	if err != nil {
		return
	}
	service.step(RelayReplyReceived{Sequence: action.Sequence, Reply: decodeReply(reply)})
}

// push sends records to a peer and reports whether the peer acknowledged them.
func (service *Service) push(ctx context.Context, address string, records []Record) bool {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	client, err := service.links.client(address, service.config.Clock.Now())
	if err != nil {
		return false
	}
	service.gauges.pushes.Mark(1)
	_, err = client.Push(ctx, &wire.PushRequest{Records: encodeRecords(records)})
	return err == nil
}
