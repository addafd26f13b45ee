package spread

import (
	"context"
	"sync"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

// Rollout tells how far a version has come.
type Rollout struct {
	Version config.Version
	// Instances counts those with the version or a later one in force, as the
	// relays have it; Live counts all live instances.
	Instances int
	Live      int
}

// Publish tells all relays of a version that this instance has stored. It
// returns true once all relays of at least one failure domain know of it.
func (service *Service) Publish(ctx context.Context, version config.Version) bool {
	relays := service.relays()
	announcement := NewAnnouncement(relays)
	complete := false
	acknowledged := service.callAll(ctx, relays, func(ctx context.Context, client wire.SpreadClient) error {
		_, err := client.Announce(ctx, &wire.AnnounceRequest{Instance: string(service.config.Self.Instance), Version: int64(version)})
		return err
	})
	for _, relay := range acknowledged {
		if announcement.Acknowledge(relay) {
			complete = true
		}
	}
	return complete
}

func (service *Service) relays() []Peer {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.node.Relays()
}

// Rollout asks the relays how far a version has come.
func (service *Service) Rollout(ctx context.Context, version config.Version) Rollout {
	rollout := Rollout{Version: version, Live: len(service.config.Peers.Live())}
	var mutex sync.Mutex // It guards inForce.
	service.callAll(ctx, service.relays(), func(ctx context.Context, client wire.SpreadClient) error {
		reply, err := client.Standing(ctx, &wire.StandingRequest{})
		if err != nil {
			return err
		}
		mutex.Lock()
		defer mutex.Unlock()
		for _, count := range decodeVersionCounts(reply.GetStanding()) {
			if count.Version >= version {
				rollout.Instances += count.Count
			}
		}
		return nil
	})
	// An instance that has just changed its parent may be counted twice.
	rollout.Instances = min(rollout.Instances, rollout.Live)
	return rollout
}

// callAll calls every peer at once and returns those that answered.
func (service *Service) callAll(ctx context.Context, peers []Peer, call func(context.Context, wire.SpreadClient) error) []names.Instance {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var mutex sync.Mutex // It guards answered.
	var answered []names.Instance
	var calls sync.WaitGroup
	for _, peer := range peers {
		calls.Go(func() {
			client, err := service.client(peer.Instance)
			if err != nil || call(ctx, client) != nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			answered = append(answered, peer.Instance)
		})
	}
	calls.Wait()
	return answered
}
