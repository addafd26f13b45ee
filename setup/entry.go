package setup

import (
	"time"

	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/certs"
)

// Entry contains the settings of an entry.
type Entry struct {
	Process

	CallerFiles        certs.FileSet
	KeySecretFile      string
	Operators          []string
	BodyBytes          int64
	HeaderBytes        int64
	AnswerBytes        int64
	OutputTokens       int64
	RequestsPerAccount int64
	LoadsPerSecond     float64
	LoadsAtOnce        int64
	AdaptersAtOnce     int64
	MovesPerHour       float64
	Connections        int64
	// ConnectionsPerAddress limits the connections from one caller's address. Zero
	// means no limit, for entries behind a load balancer that hides addresses.
	ConnectionsPerAddress int64
	Attempts              int64
	HeaderTimeout         time.Duration
	ReadTimeout           time.Duration
	WriteTimeout          time.Duration
	IdleTimeout           time.Duration
	RequestTimeout        time.Duration
	LeaveDelay            time.Duration
}

const (
	defaultBodyBytes          = 1 << 20
	defaultHeaderBytes        = 32 << 10
	defaultAnswerBytes        = 4 << 20
	defaultOutputTokens       = 1024
	defaultRequestsPerAccount = 2000
	defaultConnections        = 10000
	defaultAttempts           = 4
	defaultLoadsPerSecond     = 2
	defaultLoadsAtOnce        = 3
	defaultAdaptersAtOnce     = 25
	defaultMovesPerHour       = 60
	defaultHeaderTimeout      = 5 * time.Second
	defaultReadTimeout        = 20 * time.Second
	defaultWriteTimeout       = 10 * time.Second
	defaultIdleTimeout        = 2 * time.Minute
	defaultRequestTimeout     = 2 * time.Minute
	defaultLeaveDelay         = 3 * time.Second
	maxLeaveDelay             = 5 * time.Minute
	minTimeout                = 100 * time.Millisecond
	maxTimeout                = time.Hour
)

// Flags returns the command-line flags of an entry.
func (entry *Entry) Flags() []cli.Flag {
	return append(
		entry.Process.Flags(),
		stringFlag(&entry.KeySecretFile, "key-secret-file", "", "file with the secret under which access keys are hashed"),
		stringsFlag(&entry.Operators, "operator", "an operator who may use the administration API, as name:role:hash with a role of viewer, editor or owner; repeated"),
		stringFlag(&entry.CallerFiles.Certificate, "caller-cert", "", "PEM certificate towards callers"),
		stringFlag(&entry.CallerFiles.Key, "caller-key", "", "PEM key of caller-cert"),
		intFlag(&entry.BodyBytes, "max-body-bytes", defaultBodyBytes, "largest body of a request"),
		intFlag(&entry.HeaderBytes, "max-header-bytes", defaultHeaderBytes, "largest header of a request"),
		intFlag(&entry.AnswerBytes, "max-answer-bytes", defaultAnswerBytes, "largest answer of a plain service"),
		intFlag(&entry.OutputTokens, "max-output-tokens", defaultOutputTokens, "largest output of a request, and its default"),
		intFlag(&entry.RequestsPerAccount, "max-requests-per-account", defaultRequestsPerAccount, "most requests of one client account in progress on this instance"),
		intFlag(&entry.Connections, "max-connections", defaultConnections, "most connections from callers to this instance"),
		intFlag(&entry.ConnectionsPerAddress, "max-connections-per-address", 0, "most connections from one caller's address to this instance; 0 means no limit, as behind a balancer that hides addresses"),
		intFlag(&entry.Attempts, "max-attempts", defaultAttempts, "most attempts of one request"),
		floatFlag(&entry.LoadsPerSecond, "loads-per-second", defaultLoadsPerSecond, "model loads that the weight store starts per second, for the whole fleet"),
		intFlag(&entry.LoadsAtOnce, "loads-at-once", defaultLoadsAtOnce, "concurrent model loads that the weight store serves at full speed, for the whole fleet"),
		intFlag(&entry.AdaptersAtOnce, "adapters-at-once", defaultAdaptersAtOnce, "concurrent adapter loads at full speed, for the whole fleet"),
		floatFlag(&entry.MovesPerHour, "moves-per-hour", defaultMovesPerHour, "copies of models made per hour because demand changed"),
		durationFlag(&entry.HeaderTimeout, "header-timeout", defaultHeaderTimeout, "longest time for a caller to send a header"),
		durationFlag(&entry.ReadTimeout, "read-timeout", defaultReadTimeout, "longest time for a caller to send a request"),
		durationFlag(&entry.WriteTimeout, "write-timeout", defaultWriteTimeout, "longest time for a caller to receive one piece of an answer"),
		durationFlag(&entry.IdleTimeout, "idle-timeout", defaultIdleTimeout, "longest time that an idle connection is kept"),
		durationFlag(&entry.RequestTimeout, "request-timeout", defaultRequestTimeout, "longest time of a request, and its default"),
		durationFlag(&entry.LeaveDelay, "leave-delay", defaultLeaveDelay, "time between becoming not ready and closing the listener at a stop, for the balancer to notice"),
	)
}

// Validate returns a *[ValidationError] with every invalid setting, or nil.
func (entry *Entry) Validate() error {
	checker := &checker{}
	entry.check(checker)
	checker.address("peer-listen", entry.PeerListen)
	if checker.required("key-secret-file", entry.KeySecretFile) {
		checker.file("key-secret-file", entry.KeySecretFile)
	}
	checkOperators(checker, entry.Operators)
	checkFiles(checker, "caller", entry.CallerFiles, entry.Plaintext)
	checker.positive("max-body-bytes", entry.BodyBytes)
	checker.positive("max-header-bytes", entry.HeaderBytes)
	checker.positive("max-answer-bytes", entry.AnswerBytes)
	checker.positive("max-output-tokens", entry.OutputTokens)
	checker.positive("max-requests-per-account", entry.RequestsPerAccount)
	checker.positive("max-connections", entry.Connections)
	if entry.ConnectionsPerAddress < 0 {
		checker.report("max-connections-per-address", "%d is below zero", entry.ConnectionsPerAddress)
	}
	checker.positive("loads-at-once", entry.LoadsAtOnce)
	checker.positive("adapters-at-once", entry.AdaptersAtOnce)
	checker.above("loads-per-second", entry.LoadsPerSecond)
	checker.above("moves-per-hour", entry.MovesPerHour)
	checker.positive("max-attempts", entry.Attempts)
	checker.between("header-timeout", entry.HeaderTimeout, minTimeout, maxTimeout)
	checker.between("read-timeout", entry.ReadTimeout, minTimeout, maxTimeout)
	checker.between("write-timeout", entry.WriteTimeout, minTimeout, maxTimeout)
	checker.between("idle-timeout", entry.IdleTimeout, minTimeout, maxTimeout)
	checker.between("request-timeout", entry.RequestTimeout, minTimeout, maxTimeout)
	checker.between("leave-delay", entry.LeaveDelay, 0, maxLeaveDelay)
	return checker.err()
}
