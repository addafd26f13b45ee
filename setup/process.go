package setup

import (
	"time"

	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/certs"
	"github.com/basilkeel/basilkeel/names"
)

// Process contains the settings that all serving roles share.
type Process struct {
	Instance         string
	Domain           string
	Region           string
	Listen           string
	OperatorListen   string
	PeerListen       string
	PlatformAddr     string
	InstancesURL     string
	TicketSecretFile string
	// MemoryBytes is the memory of the process; zero means that of the machine.
	MemoryBytes   int64
	DrainTimeout  time.Duration
	LogLevel      string
	Plaintext     bool
	PeerFiles     certs.FileSet
	OperatorFiles certs.FileSet
	PlatformFiles certs.FileSet
}

const (
	defaultDrainTimeout = 30 * time.Second
	maxDrainTimeout     = 10 * time.Minute
)

// Flags returns the command-line flags that all serving roles share.
func (process *Process) Flags() []cli.Flag {
	return []cli.Flag{
		stringFlag(&process.Instance, "instance", "", "identifier of this instance; by default a new one at each start"),
		stringFlag(&process.Domain, "failure-domain", "", "failure domain of this instance"),
		stringFlag(&process.Region, "region", "", "region of this instance"),
		stringFlag(&process.Listen, "listen", "127.0.0.1:8080", "address for requests"),
		stringFlag(&process.OperatorListen, "operator-listen", "127.0.0.1:8081", "address for operators: probes, metrics, administration"),
		stringFlag(&process.PeerListen, "peer-listen", "127.0.0.1:8082", "address for the system's own processes"),
		stringFlag(&process.PlatformAddr, "platform", "", "address of the platform's key-value service"),
		stringFlag(&process.InstancesURL, "instances-url", "", "URL of the platform's instance list"),
		stringFlag(&process.TicketSecretFile, "ticket-secret-file", "", "file with secrets that sign tickets between own processes, one a line: the first signs, all verify"),
		intFlag(&process.MemoryBytes, "process-memory-bytes", 0, "memory of the process, which bounds its connections and the headers that it receives; 0 means that of the machine"),
		durationFlag(&process.DrainTimeout, "drain-timeout", defaultDrainTimeout, "longest time for a graceful stop"),
		stringFlag(&process.LogLevel, "log-level", "info", "least severe level to log: debug, info, warning, error"),
		boolFlag(&process.Plaintext, "plaintext", "serve and connect without TLS where no certificate is named"),
		stringFlag(&process.PeerFiles.Certificate, "peer-cert", "", "PEM certificate towards the system's own processes"),
		stringFlag(&process.PeerFiles.Key, "peer-key", "", "PEM key of peer-cert"),
		stringFlag(&process.PeerFiles.Authority, "peer-ca", "", "PEM authority that signs the certificates of own processes"),
		stringFlag(&process.OperatorFiles.Certificate, "operator-cert", "", "PEM certificate towards operators"),
		stringFlag(&process.OperatorFiles.Key, "operator-key", "", "PEM key of operator-cert"),
		stringFlag(&process.PlatformFiles.Certificate, "platform-cert", "", "PEM certificate towards the platform"),
		stringFlag(&process.PlatformFiles.Key, "platform-key", "", "PEM key of platform-cert"),
		stringFlag(&process.PlatformFiles.Authority, "platform-ca", "", "PEM authority that signs the platform's certificate"),
	}
}

// check reports the faults of the settings to checker.
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
	if process.MemoryBytes < 0 {
		checker.report("process-memory-bytes", "%d is below zero", process.MemoryBytes)
	}
	checker.between("drain-timeout", process.DrainTimeout, 0, maxDrainTimeout)
	checker.level("log-level", process.LogLevel)
	checkFiles(checker, "peer", process.PeerFiles, process.Plaintext)
	checkFiles(checker, "operator", process.OperatorFiles, process.Plaintext)
	checkFiles(checker, "platform", process.PlatformFiles, process.Plaintext)
}

// InstanceName returns the instance's identifier.
func (process *Process) InstanceName() names.Instance { return names.Instance(process.Instance) }

// checkFiles checks the certificate files for one kind of connection. Plaintext
// has to be enabled explicitly, so that a missing setting does not turn TLS off.
func checkFiles(checker *checker, side string, files certs.FileSet, plaintext bool) {
	if files.Empty() {
		if !plaintext {
			checker.report(side+"-cert", "is required unless --plaintext is given")
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
