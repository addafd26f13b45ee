package poison

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// CrashID identifies one crash: the backend server, and the run of it that ended.
type CrashID struct {
	Server names.BackendServer
	Boot   string
}

// Crash is the end of a backend server with requests in flight. It never
// changes once it is recorded.
type Crash struct {
	ID CrashID
	At time.Time
	// Running holds the fingerprints of the requests that the server was running.
	Running []Fingerprint
}

func (crash Crash) includes(fingerprint Fingerprint) bool {
	for _, each := range crash.Running {
		if each == fingerprint {
			return true
		}
	}
	return false
}

func (crash Crash) ranAlone() bool { return len(crash.Running) == 1 }
