package setup

import "time"

// Host is what a prepared deployment tells a process about its place and its
// surroundings.
type Host struct {
	// Instance is the name of the machine; it outlives restarts.
	Instance string
	// Domain is the failure domain.
	Domain string
	// IP is the address of this instance without a port.
	IP string
	// CallerAddress takes callers' connections, ReadyAddress readiness probes.
	CallerAddress string
	ReadyAddress  string
	// FirstPort to LastPort are free for the system's own use on every instance.
	FirstPort int
	LastPort  int
	// StoreAddress is the platform's key-value service.
	StoreAddress string
	// MinLeaseTTL is the least time to live of a lease.
	MinLeaseTTL time.Duration
	// RegistryPeriod is the time between two reports of a backend server to the
	// registry.
	RegistryPeriod time.Duration
	// MemoryBytes is what the process may use.
	MemoryBytes int64
	// Cores is the processor time that it may use, in cores; LinkMbps is the
	// bandwidth of the instance's link. Zero means not told.
	Cores    float64
	LinkMbps float64
	// Bounds are the promises that figures are derived from.
	Bounds HostBounds
}

// HostBounds are figures that operators promise for a whole deployment.
type HostBounds struct {
	// Contact is the time after which instances have to act on what has happened; zero
	// means not told.
	Contact time.Duration
	// StopGrace is the time from SIGTERM to SIGKILL.
	StopGrace time.Duration
	// RetryRatio and RetrySlack bound resent requests of a service in RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Fenced tells that model engines refuse orders of former coordinators.
	Fenced bool
	// LoadWindow is the span in which loads from the weight store are counted.
	LoadWindow time.Duration
}

// Validate returns a *FaultsError naming every fault, or nil.
func (host *Host) Validate() error {
	checker := &checker{}
	checker.required("instance name", host.Instance)
	checker.required("failure domain", host.Domain)
	checker.address("store address", host.StoreAddress)
	checker.address("callers' address", host.CallerAddress)
	checker.address("readiness address", host.ReadyAddress)
	if host.FirstPort <= 0 || host.LastPort <= host.FirstPort {
		checker.fail("own ports", "%d to %d is not a range of two ports or more", host.FirstPort, host.LastPort)
	}
	checker.positive("memory bytes", host.MemoryBytes)
	checker.positive("load window", int64(host.Bounds.LoadWindow))
	checker.positive("stop grace", int64(host.Bounds.StopGrace))
	checker.positive("registry period", int64(host.RegistryPeriod))
	return checker.err()
}
