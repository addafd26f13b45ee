package setup

import "time"

// Host contains the settings that a prepared deployment gives a process: its
// location, its addresses and the services around it.
type Host struct {
	// Instance is the name of the instance; it stays the same across restarts.
	Instance string
	// Domain is the failure domain.
	Domain string
	// Region is the region of this instance, and Regions maps failure domains to theirs.
	Region  string
	Regions map[string]string
	// IP is the address of this instance without a port.
	IP string
	// CallerAddress accepts callers' connections, ReadyAddress readiness probes.
	CallerAddress string
	ReadyAddress  string
	// FirstPort to LastPort are free for the system's own use on every instance.
	FirstPort int
	LastPort  int
	// StoreAddress is the address of the platform's key-value service.
	StoreAddress string
	// MinLeaseTTL is the minimum time to live of a lease.
	MinLeaseTTL time.Duration
	// RegistryPeriod is the interval at which a backend server reports to the
	// registry.
	RegistryPeriod time.Duration
	// MemoryBytes is the memory limit of the process. Zero means unknown: the process then
	// has no bound for what it holds for callers and servers.
	MemoryBytes int64
	// Descriptors is the number of descriptors that the process may use for connections. Zero means
	// unknown: the limit of the operating system then holds alone.
	Descriptors int
	// Cores is the processor limit of the process, in cores; LinkMbps is the
	// bandwidth of the instance's network link. Zero means unknown.
	Cores    float64
	LinkMbps float64
	// PauseWhenOverloaded has an instance with a small share of a core report that it is not
	// ready, for some seconds, when it cannot keep up with its requests.
	PauseWhenOverloaded bool
	// Bounds are the deployment's limits, from which timeouts are derived.
	Bounds HostBounds
}

// HostBounds are limits that operators guarantee for a whole deployment.
type HostBounds struct {
	// Contact is the time within which instances have to react to an event; zero
	// means unknown.
	Contact time.Duration
	// StopGrace is the time from SIGTERM to SIGKILL.
	StopGrace time.Duration
	// RetryRatio and RetrySlack limit the retries of a service's requests within
	// RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Fenced reports whether model engines refuse orders of former coordinators.
	Fenced bool
	// LoadWindow is the time window in which loads from the weight store are
	// counted.
	LoadWindow time.Duration
	// Evacuate is the time after an operator's request within which the servers of a
	// failure domain must get no more requests; zero means unknown.
	Evacuate time.Duration
}

// Validate returns a *[ValidationError] with every invalid setting, or nil.
func (host *Host) Validate() error {
	checker := &checker{}
	checker.required("instance name", host.Instance)
	checker.required("failure domain", host.Domain)
	checker.address("store address", host.StoreAddress)
	checker.address("callers' address", host.CallerAddress)
	checker.address("readiness address", host.ReadyAddress)
	if host.FirstPort <= 0 || host.LastPort <= host.FirstPort {
		checker.report("own ports", "%d to %d is not a range of two ports or more", host.FirstPort, host.LastPort)
	}
	if host.MemoryBytes < 0 {
		checker.report("memory bytes", "%d is below zero", host.MemoryBytes)
	}
	if host.Descriptors < 0 {
		checker.report("descriptors", "%d is below zero", host.Descriptors)
	}
	checker.positive("load window", int64(host.Bounds.LoadWindow))
	checker.positive("stop grace", int64(host.Bounds.StopGrace))
	checker.positive("registry period", int64(host.RegistryPeriod))
	return checker.err()
}
