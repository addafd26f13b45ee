package setup

import (
	"time"

	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/certs"
)

// Entry holds the settings of an entry.
type Entry struct {
	Process

	CallerFiles        certs.FileSet
	KeySecretFile            string
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
	// ConnectionsPerAddress bounds the connections of one caller's address; zero
	// means no bound, as behind a balancer that hides addresses.
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
	longestLeaveDelay         = 5 * time.Minute
	shortestTimeout           = 100 * time.Millisecond
	longestTimeout            = time.Hour
)

// Flags returns the flags of the settings.
func (entry *Entry) Flags() []cli.Flag {
	return append(
		entry.Process.Flags(),
		text(&entry.KeySecretFile, "key-secret-file", "", "file with the secret under which access keys are hashed"),
		list(&entry.Operators, "operator", "who may use the administration API, as name:role:hash with a role of viewer, editor or owner; repeated"),
		text(&entry.CallerFiles.Certificate, "caller-cert", "", "PEM certificate towards callers"),
		text(&entry.CallerFiles.Key, "caller-key", "", "PEM key of caller-cert"),
		number(&entry.BodyBytes, "max-body-bytes", defaultBodyBytes, "largest body of a request"),
		number(&entry.HeaderBytes, "max-header-bytes", defaultHeaderBytes, "largest header of a request"),
		number(&entry.AnswerBytes, "max-answer-bytes", defaultAnswerBytes, "largest answer of a plain service"),
		number(&entry.OutputTokens, "max-output-tokens", defaultOutputTokens, "largest output of a request, and its default"),
		number(&entry.RequestsPerAccount, "max-requests-per-account", defaultRequestsPerAccount, "requests of one client account under way here"),
		number(&entry.Connections, "max-connections", defaultConnections, "callers' connections held here"),
		number(&entry.ConnectionsPerAddress, "max-connections-per-address", 0, "connections held here of one caller's address; 0 for no bound, as behind a balancer that hides addresses"),
		number(&entry.Attempts, "max-attempts", defaultAttempts, "attempts of one request"),
		decimal(&entry.LoadsPerSecond, "loads-per-second", defaultLoadsPerSecond, "loads of models that the weight store starts a second, for the whole fleet"),
		number(&entry.LoadsAtOnce, "loads-at-once", defaultLoadsAtOnce, "loads of models that the weight store serves at full speed, for the whole fleet"),
		number(&entry.AdaptersAtOnce, "adapters-at-once", defaultAdaptersAtOnce, "loads of adapters at full speed, for the whole fleet"),
		decimal(&entry.MovesPerHour, "moves-per-hour", defaultMovesPerHour, "copies of models made an hour because demand moved"),
		span(&entry.HeaderTimeout, "header-timeout", defaultHeaderTimeout, "longest time for a caller to send a header"),
		span(&entry.ReadTimeout, "read-timeout", defaultReadTimeout, "longest time for a caller to send a request"),
		span(&entry.WriteTimeout, "write-timeout", defaultWriteTimeout, "longest time for a caller to take one piece of an answer"),
		span(&entry.IdleTimeout, "idle-timeout", defaultIdleTimeout, "longest time that an idle connection is kept"),
		span(&entry.RequestTimeout, "request-timeout", defaultRequestTimeout, "longest time of a request, and its default"),
		span(&entry.LeaveDelay, "leave-delay", defaultLeaveDelay, "time at a stop in which the balancer notices that the instance is not ready"),
	)
}

// Validate returns a *FaultsError naming every fault, or nil.
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
		checker.fail("max-connections-per-address", "%d is below zero", entry.ConnectionsPerAddress)
	}
	checker.positive("loads-at-once", entry.LoadsAtOnce)
	checker.positive("adapters-at-once", entry.AdaptersAtOnce)
	checker.above("loads-per-second", entry.LoadsPerSecond)
	checker.above("moves-per-hour", entry.MovesPerHour)
	checker.positive("max-attempts", entry.Attempts)
	checker.span("header-timeout", entry.HeaderTimeout, shortestTimeout, longestTimeout)
	checker.span("read-timeout", entry.ReadTimeout, shortestTimeout, longestTimeout)
	checker.span("write-timeout", entry.WriteTimeout, shortestTimeout, longestTimeout)
	checker.span("idle-timeout", entry.IdleTimeout, shortestTimeout, longestTimeout)
	checker.span("request-timeout", entry.RequestTimeout, shortestTimeout, longestTimeout)
	checker.span("leave-delay", entry.LeaveDelay, 0, longestLeaveDelay)
	return checker.err()
}
