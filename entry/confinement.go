package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/poison"
	"github.com/basilkeel/basilkeel/route"
	"github.com/basilkeel/basilkeel/wire"
)

// confinement limits a request that may crash backend servers to the few
// servers that its fingerprint selects. It also exchanges what is known of
// crashes between this entry and agents.
type confinement struct {
	crashTracker CrashTracker
	plan         route.Plan

	// mu guards agentDigests.
	mu sync.Mutex
	// agentDigests holds the crash digest that each server's agent last
	// reported.
	agentDigests map[names.BackendServer]uint64
}

func newConfinement(crashTracker CrashTracker, plan route.Plan) *confinement {
	return &confinement{crashTracker: crashTracker, plan: plan, agentDigests: make(map[names.BackendServer]uint64)}
}

// refusal returns the refusal of a job whose fingerprint may not run now, and
// nil if the job may run.
func (confinement *confinement) refusal(job job, now time.Time) *call.Refusal {
	if job.fingerprint == nil {
		return nil
	}
	switch verdict := confinement.crashTracker.Classify(*job.fingerprint).(type) {
	case poison.Quarantined:
		return &call.Refusal{
			Code: call.CodeQuarantined, Outcome: call.NotRun{},
			Message: "the request crashed backend servers and is refused until " + verdict.Until.UTC().Format(time.RFC3339),
		}
	case poison.Deferred:
		return &call.Refusal{
			Code: call.CodeUnavailable, Outcome: call.NotRun{}, RetryAfter: verdict.Until.Sub(now),
			Message: "the request was there when backend servers crashed",
		}
	case poison.Clear, poison.Suspect:
		return nil
	default:
		return nil
	}
}

// allowedServers returns the servers on which a job may run, and nil if it has
// no fingerprint. Apart from the excluded servers, every entry selects the same
// ones.
func (confinement *confinement) allowedServers(job job, excluded []names.BackendServer) []names.BackendServer {
	if job.fingerprint == nil {
		return nil
	}
	var servers []names.BackendServer
	for _, replica := range confinement.plan.Replicas(job.query.Target) {
		if !replica.Leaving && !slices.Contains(excluded, replica.Server) {
			servers = append(servers, replica.Server)
		}
	}
	return poison.Candidates(*job.fingerprint, servers)
}

// attachCrashes adds this entry's crash digest to message, and all that the
// entry knows of crashes if the server's agent last reported another digest.
func (confinement *confinement) attachCrashes(message *wire.ServeRequest, server names.BackendServer) {
	message.CrashDigest = confinement.crashTracker.Digest()
	confinement.mu.Lock()
	agentDigest := confinement.agentDigests[server]
	confinement.mu.Unlock()
	if message.GetCrashDigest() != 0 && agentDigest != message.GetCrashDigest() {
		message.Crashes = poison.EncodeSnapshot(confinement.crashTracker.Snapshot())
	}
}

// mergeLoad merges what the server's agent reports about crashes.
func (confinement *confinement) mergeLoad(server names.BackendServer, load *wire.Load) {
	if load == nil {
		return
	}
	if load.GetCrashes() != nil {
		if snapshot, err := poison.DecodeSnapshot(load.GetCrashes()); err == nil {
			confinement.crashTracker.Merge(snapshot)
		}
	}
	confinement.mu.Lock()
	defer confinement.mu.Unlock()
	if load.GetCrashDigest() == 0 {
		delete(confinement.agentDigests, server)
		return
	}
	confinement.agentDigests[server] = load.GetCrashDigest()
}

// allowsOtherServer reports whether another server may take the place of the
// one that refused. The agent has to have confirmed that the request did not
// run there. Where a crash could be the cause of the refusal, what is known of
// crashes has to clear the request too. An agent that cannot be reached
// confirms nothing, since the request itself may have crashed its server.
func (confinement *confinement) allowsOtherServer(job job, refusal *call.Refusal) bool {
	_, notRun := refusal.OutcomeOrUnknown().(call.NotRun)
	if !notRun || job.fingerprint == nil {
		return false
	}
	switch refusal.Code {
	case call.CodeOverloaded, call.CodeDraining:
		return true
	case call.CodeLoading, call.CodeUnavailable:
		_, cleared := confinement.crashTracker.Classify(*job.fingerprint).(poison.Clear)
		return cleared
	default:
		return false
	}
}
