package setup

import (
	"time"

	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/certs"
	"github.com/basilkeel/basilkeel/names"
)

// Process holds the settings that every serving role has.
type Process struct {
	Instance       string
	Domain         string
	Region         string
	Listen         string
	OperatorListen string
	PeerListen     string
	PlatformAddr   string
	InstancesURL   string
	TicketSecretFile     string
	DrainTimeout   time.Duration
	LogLevel       string
	Plaintext      bool
	PeerFiles      certs.FileSet
	OperatorFiles  certs.FileSet
	PlatformFiles  certs.FileSet
}

const (
	defaultDrainTimeout = 30 * time.Second
	longestDrain        = 10 * time.Minute
)

// Flags returns the flags of the settings.
func (process *Process) Flags() []cli.Flag {
	return []cli.Flag{
		text(&process.Instance, "instance", "", "identifier of this instance; by default a new one at each start"),
		text(&process.Domain, "failure-domain", "", "failure domain that this instance stands in"),
		text(&process.Region, "region", "", "region that this instance stands in"),
		text(&process.Listen, "listen", "127.0.0.1:8080", "address for requests"),
		text(&process.OperatorListen, "operator-listen", "127.0.0.1:8081", "address for operators: probes, metrics, administration"),
		text(&process.PeerListen, "peer-listen", "127.0.0.1:8082", "address for the system's own processes"),
		text(&process.PlatformAddr, "platform", "", "address of the platform's key-value service"),
		text(&process.InstancesURL, "instances-url", "", "URL of the platform's instance list"),
		text(&process.TicketSecretFile, "ticket-secret-file", "", "file with secrets that sign tickets between own processes, one a line: the first signs, all verify"),
		span(&process.DrainTimeout, "drain-timeout", defaultDrainTimeout, "longest time for a graceful stop"),
		text(&process.LogLevel, "log-level", "info", "least severe level to log: debug, info, warning, error"),
		toggle(&process.Plaintext, "plaintext", "serve and connect without TLS where no certificate is named"),
		text(&process.PeerFiles.Certificate, "peer-cert", "", "PEM certificate towards the system's own processes"),
		text(&process.PeerFiles.Key, "peer-key", "", "PEM key of peer-cert"),
		text(&process.PeerFiles.Authority, "peer-ca", "", "PEM authority that signs the certificates of own processes"),
		text(&process.OperatorFiles.Certificate, "operator-cert", "", "PEM certificate towards operators"),
		text(&process.OperatorFiles.Key, "operator-key", "", "PEM key of operator-cert"),
		text(&process.PlatformFiles.Certificate, "platform-cert", "", "PEM certificate towards the platform"),
		text(&process.PlatformFiles.Key, "platform-key", "", "PEM key of platform-cert"),
		text(&process.PlatformFiles.Authority, "platform-ca", "", "PEM authority that signs the platform's certificate"),
	}
}

// check reports what is wrong with the settings.
func (process *Process) check(checker *checker) {
	checker.required("failure-domain", process.Domain)
	checker.required("region", process.Region)
	checker.address("listen", process.Listen)
	checker.address("operator-listen", process.OperatorListen)
	checker.address("platform", process.PlatformAddr)
	checker.url("instances-url", process.InstancesURL)
	if checker.required("ticket-secret-file", process.TicketSecretFile) {
		checker.file("ticket-secret-file", process.TicketSecretFile)
	}
	checker.span("drain-timeout", process.DrainTimeout, 0, longestDrain)
	checker.level("log-level", process.LogLevel)
	checkFiles(checker, "peer", process.PeerFiles, process.Plaintext)
	checkFiles(checker, "operator", process.OperatorFiles, process.Plaintext)
	checkFiles(checker, "platform", process.PlatformFiles, process.Plaintext)
}

// InstanceName returns the instance's identifier.
func (process *Process) InstanceName() names.Instance { return names.Instance(process.Instance) }

// checkFiles checks the certificate files of one side. Plain text has to be
// asked for, so that a forgotten file is no open door.
func checkFiles(checker *checker, side string, files certs.FileSet, plaintext bool) {
	if files.Empty() {
		if !plaintext {
			checker.fail(side+"-cert", "is required unless --plaintext is given")
		}
		return
	}
	if checker.required(side+"-cert", files.Certificate) {
		checker.file(side+"-cert", files.Certificate)
	}
	if checker.required(side+"-key", files.Key) {
		checker.file(side+"-key", files.Key)
	}
	checker.file(side+"-ca", files.Authority)
}
