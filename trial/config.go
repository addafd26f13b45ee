package trial

// Config carries what a [Cluster] is built from.
type Config struct {
	// Basilkeel and Standin are the paths of the programs.
	Basilkeel string
	Standin   string
	// Directory takes logs and the fleet's secret.
	Directory string
	// Entries, Engines and Plains count the instances of each kind, spread over
	// the failure domains in turn.
	Entries       int
	Engines       int
	PlainServices int
	// EngineArguments are added to each stand-in engine.
	EngineArguments []string
	// AgentArguments and EntryArguments are added to each agent and entry.
	AgentArguments []string
	EntryArguments []string
	// TLS secures callers, operators and own processes.
	TLS bool
}

// Names that a cluster's configuration holds.
const (
	// Account is the client account of [Secret].
	Account = "levuka-racks"
	// Secret is the access key that callers show.
	Secret = "levuka-secret-key"
	// Model is resident on every engine.
	Model = "notes-7b"
	// Adapter belongs to Model and is resident on every engine.
	Adapter = "rack-layout"
	// ColdModel is in the configuration and resident nowhere at the start.
	ColdModel = "inspect-3b"
	// Service is the plain service.
	Service = "franchise-desk"
	// Region is where all instances stand.
	Region = "viti-south"
)

// Domains lists the failure domains.
func Domains() []string { return []string{"suva-a", "suva-b", "navua-c"} }
