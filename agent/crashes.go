package agent

import (
	"github.com/basilkeel/basilkeel/poison"
	"github.com/basilkeel/basilkeel/wire"
)

// Crashes is what an agent knows of requests that crash backend servers. It is
// safe for concurrent use.
type Crashes interface {
	// Snapshot returns all that is known.
	Snapshot() poison.Snapshot
	// Merge takes what another instance knows and tells whether it was new.
	Merge(snapshot poison.Snapshot) bool
}

// learn takes in what an entry knows of crashes.
func (server *Server) learn(request *wire.ServeRequest) {
	if server.config.Crashes == nil || request.GetCrashes() == nil {
		return
	}
	snapshot, err := poison.DecodeSnapshot(request.GetCrashes())
	if err != nil {
		return
	}
	server.config.Crashes.Merge(snapshot)
}

// tell adds to load what an entry with digest does not know of crashes.
func (server *Server) tell(load *wire.Load, digest uint64) *wire.Load {
	if server.config.Crashes == nil {
		return load
	}
	snapshot := server.config.Crashes.Snapshot()
	load.CrashDigest = poison.Digest(snapshot)
	if load.GetCrashDigest() != digest && load.GetCrashDigest() != 0 {
		load.Crashes = poison.EncodeSnapshot(snapshot)
	}
	return load
}
