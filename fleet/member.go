package fleet

import "github.com/basilkeel/basilkeel/names"

// MemberConfig carries the fields of a [Member].
type MemberConfig struct {
	Instance names.Instance
	Role     Role
	State    State
	// Address is the host:port at which other instances connect to it.
	Address string
	Domain  names.FailureDomain
	Region  names.Region
	// Server is the backend server beside an agent.
	Server names.BackendServer
	// Service is the plain service beside an agent; empty beside a model engine.
	Service names.Service
	// Suspect reports whether recent probes by peers failed.
	Suspect bool
}

// Member describes one instance to the others. It is immutable.
type Member struct {
	config MemberConfig
}

// NewMember returns the member described by config.
func NewMember(config MemberConfig) Member { return Member{config: config} }

// Instance returns the member's identifier.
func (member Member) Instance() names.Instance { return member.config.Instance }

// Role returns the member's role.
func (member Member) Role() Role { return member.config.Role }

// State returns the member's lifecycle state.
func (member Member) State() State { return member.config.State }

// Address returns the host:port at which other instances connect to the member.
func (member Member) Address() string { return member.config.Address }

// Domain returns the member's failure domain.
func (member Member) Domain() names.FailureDomain { return member.config.Domain }

// Region returns the member's region.
func (member Member) Region() names.Region { return member.config.Region }

// Server returns the backend server beside an agent.
func (member Member) Server() names.BackendServer { return member.config.Server }

// Service returns the plain service beside an agent; empty beside a model engine.
func (member Member) Service() names.Service { return member.config.Service }

// WithState returns a copy of the member with the given state and suspicion of
// failure.
func (member Member) WithState(state State, suspect bool) Member {
	member.config.State = state
	member.config.Suspect = suspect
	return member
}

// Suspect reports whether recent probes of the member by peers failed. It may
// still answer, and keeps its work and duties until its state is [StateFailed].
func (member Member) Suspect() bool { return member.config.Suspect }
