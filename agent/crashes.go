package agent

import (
	"github.com/basilkeel/basilkeel/poison"
	"github.com/basilkeel/basilkeel/wire"
)

// CrashTracker tracks requests that crash backend servers. It is safe for
// concurrent use.
type CrashTracker interface {
	// Snapshot returns all known crashes and clearances.
	Snapshot() poison.Snapshot
	// Merge adds another instance's snapshot and reports whether anything was new.
	Merge(snapshot poison.Snapshot) bool
}

// mergeCrashes adds the crashes that an entry reports with request. It ignores a
// malformed report.
func (server *Server) mergeCrashes(request *wire.ServeRequest) {
	if server.config.Crashes == nil || request.GetCrashes() == nil {
		return
	}
	snapshot, err := poison.DecodeSnapshot(request.GetCrashes())
	if err != nil {
		return
	}
	server.config.Crashes.Merge(snapshot)
}

// addCrashes adds the digest of the known crashes to load, and the crashes
// themselves if digest, the entry's own, differs.
func (server *Server) addCrashes(load *wire.Load, digest uint64) *wire.Load {
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
