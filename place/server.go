package place

import (
	"time"

	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/names"
)

// Server is the state of a backend server according to the membership list and
// the last report of its agent.
type Server struct {
	Name    names.BackendServer
	Domain  names.FailureDomain
	Leaving bool
	// ReportedAt is when the agent made the report; zero means never.
	ReportedAt time.Time
	// Applied is the version of the plan that the agent had applied before it
	// made the report.
	Applied Version
	// MemoryBytes is the size of the accelerator memory.
	MemoryBytes int64
	// TokensPerSecond is the speed of the engine at full load; zero means the
	// configured default.
	TokensPerSecond float64
	// Reserved lists the items that may be resident.
	Reserved []ledger.Weights
	// Usable lists the items that can serve.
	Usable []ledger.Item
}
