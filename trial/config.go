package trial

// Config configures a [Cluster].
type Config struct {
	// Basilkeel and Standin are the paths of the programs.
	Basilkeel string
	Standin   string
	// Directory is where logs, secrets and certificates are written.
	Directory string
	// Entries, Engines and PlainServices are the numbers of instances of each kind,
	// assigned to the failure domains in turn.
	Entries       int
	Engines       int
	PlainServices int
	// EngineArguments are added to the command line of each stand-in engine.
	EngineArguments []string
	// AgentArguments and EntryArguments are added to the command line of each
	// agent and entry.
	AgentArguments []string
	EntryArguments []string
	// TLS encrypts the connections of callers, operators and peers.
	TLS bool
}

// Names in a cluster's configuration.
const (
	// Account is the client account of [Secret].
	Account = "levuka-racks"
	// Secret is the access key that callers send.
	Secret = "levuka-secret-key"
	// Model is resident on every engine.
	Model = "notes-7b"
	// Adapter belongs to Model and is resident on every engine.
	Adapter = "rack-layout"
	// ColdModel is configured, and resident on no engine at the start.
	ColdModel = "inspect-3b"
	// Service is the name of the plain service.
	Service = "franchise-desk"
	// Region is the region of all instances.
	Region = "viti-south"
)

// Domains returns the failure domains.
func Domains() []string { return []string{"suva-a", "suva-b", "navua-c"} }
