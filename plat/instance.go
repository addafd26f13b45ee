package plat

// Instance is one entry of the platform's instance list.
type Instance struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Role is entry or agent.
	Role          string `json:"role"`
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region"`
	// Service is the plain service behind an agent; empty beside a model engine.
	Service string `json:"service,omitempty"`
	// BackendServer is the backend server beside an agent.
	BackendServer string `json:"backendServer,omitempty"`
	// Leaving reports whether the platform is about to stop the instance.
	Leaving bool `json:"leaving"`
}
