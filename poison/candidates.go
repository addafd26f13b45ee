package poison

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/basilkeel/basilkeel/names"
)

// MaxServers is the number of servers on which a fingerprint may run.
const MaxServers = 2

// Candidates returns the servers on which fingerprint may run, chosen by
// rendezvous hashing. All instances that see the same servers choose the same
// ones, and fingerprints spread evenly over the servers. A request that crashes
// servers is thereby confined to [MaxServers] of them, even if repetitions of it
// arrive before other instances learn of the crash.
func Candidates(fingerprint Fingerprint, servers []names.BackendServer) []names.BackendServer {
	type scored struct {
		server names.BackendServer
		score  uint64
	}
	all := make([]scored, 0, len(servers))
	for _, server := range servers {
		digest := xxhash.New()
		_, _ = digest.Write(fingerprint[:])
		_, _ = digest.WriteString(string(server))
		all = append(all, scored{server: server, score: digest.Sum64()})
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].score != all[j].score {
			return all[i].score > all[j].score
		}
		return all[i].server < all[j].server
	})
	chosen := make([]names.BackendServer, 0, MaxServers)
	for _, each := range all[:min(MaxServers, len(all))] {
		chosen = append(chosen, each.server)
	}
	return chosen
}
