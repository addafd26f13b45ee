package spread

import (
	"context"
	"sync"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

// Rollout is the progress of a version towards being in force everywhere.
type Rollout struct {
	Version config.Version
	// Instances is the number of instances that have the version or a later one
	// in force, as reported by the relays; Live is the number of live instances.
	Instances int
	Live      int
}

// Publish announces a version that this instance has stored to all relays. It
// reports whether all relays of at least one failure domain acknowledged it.
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

// Rollout asks the relays how many instances have version or a later one in
// force. Relays that do not answer count for no instances.
func (service *Service) Rollout(ctx context.Context, version config.Version) Rollout {
	rollout := Rollout{Version: version, Live: len(service.config.Peers.Live())}
	var mutex sync.Mutex // guards rollout
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

// callAll runs call for all peers concurrently and returns those for which it
// succeeded.
func (service *Service) callAll(ctx context.Context, peers []Peer, call func(context.Context, wire.SpreadClient) error) []names.Instance {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var mutex sync.Mutex // guards answered
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
