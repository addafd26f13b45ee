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

// confinement keeps a request that may crash backend servers to the few at
// which its fingerprint may run, and carries what is known of crashes between
// this entry and agents.
type confinement struct {
	crashes Crashes
	plan    route.Plan

	// mu guards told.
	mu sync.Mutex
	// told holds the last digest that each server's agent gave.
	told map[names.BackendServer]uint64
}

func newConfinement(crashes Crashes, plan route.Plan) *confinement {
	return &confinement{crashes: crashes, plan: plan, told: make(map[names.BackendServer]uint64)}
}

// refuse returns the refusal of a job whose fingerprint is not to run now.
func (confinement *confinement) refuse(job job, now time.Time) *call.Refusal {
	if job.fingerprint == nil {
		return nil
	}
	switch verdict := confinement.crashes.Classify(*job.fingerprint).(type) {
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

// allowed returns the servers at which a job may run: the same at every entry,
// but for those that passed it on.
func (confinement *confinement) allowed(job job, passers []names.BackendServer) []names.BackendServer {
	if job.fingerprint == nil {
		return nil
	}
	var servers []names.BackendServer
	for _, replica := range confinement.plan.Replicas(job.query.Target) {
		if !replica.Leaving && !slices.Contains(passers, replica.Server) {
			servers = append(servers, replica.Server)
		}
	}
	return poison.Candidates(*job.fingerprint, servers)
}

// brief adds to message what the server's agent does not know of crashes.
func (confinement *confinement) brief(message *wire.ServeRequest, server names.BackendServer) {
	message.CrashDigest = confinement.crashes.Digest()
	confinement.mu.Lock()
	told := confinement.told[server]
	confinement.mu.Unlock()
	if message.GetCrashDigest() != 0 && told != message.GetCrashDigest() {
		message.Crashes = poison.EncodeSnapshot(confinement.crashes.Snapshot())
	}
}

// learn takes in what the server's agent knows of crashes.
func (confinement *confinement) learn(server names.BackendServer, load *wire.Load) {
	if load == nil {
		return
	}
	if load.GetCrashes() != nil {
		if snapshot, err := poison.DecodeSnapshot(load.GetCrashes()); err == nil {
			confinement.crashes.Merge(snapshot)
		}
	}
	confinement.mu.Lock()
	defer confinement.mu.Unlock()
	if load.GetCrashDigest() == 0 {
		delete(confinement.told, server)
		return
	}
	confinement.told[server] = load.GetCrashDigest()
}

// passes tells whether a refusal makes room for another server: its agent says
// that the request did not run there, and what it knows of crashes clears the
// request. An agent that cannot be reached says nothing; the request itself may
// have crashed its server.
func (confinement *confinement) passes(job job, refusal *call.Refusal) bool {
	_, notRun := refusal.Result().(call.NotRun)
	if !notRun || job.fingerprint == nil {
		return false
	}
	switch refusal.Code {
	case call.CodeOverloaded, call.CodeDraining:
		return true
	case call.CodeLoading, call.CodeUnavailable:
		_, cleared := confinement.crashes.Classify(*job.fingerprint).(poison.Clear)
		return cleared
	default:
		return false
	}
}
