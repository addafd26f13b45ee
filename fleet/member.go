package fleet

import "github.com/basilkeel/basilkeel/names"

// MemberConfig carries the fields of a [Member].
type MemberConfig struct {
	Instance names.Instance
	Role     Role
	State    State
	// Address is where other instances reach it, host:port.
	Address string
	Domain  names.FailureDomain
	Region  names.Region
	// Server is the backend server of an agent.
	Server names.BackendServer
	// Service is the plain service of an agent; empty beside a model engine.
	Service names.Service
	// Suspect tells that peers could not reach it lately.
	Suspect bool
}

// Member is one instance as others see it. It is immutable.
type Member struct {
	config MemberConfig
}

// NewMember returns the member described by config.
func NewMember(config MemberConfig) Member { return Member{config: config} }

// Instance identifies the member.
func (member Member) Instance() names.Instance { return member.config.Instance }

// Role is what the member does.
func (member Member) Role() Role { return member.config.Role }

// State is how far the member is in its life.
func (member Member) State() State { return member.config.State }

// Address is where other instances reach it, host:port.
func (member Member) Address() string { return member.config.Address }

// Domain is the member's failure domain.
func (member Member) Domain() names.FailureDomain { return member.config.Domain }

// Region is the member's region.
func (member Member) Region() names.Region { return member.config.Region }

// Server is the backend server of an agent.
func (member Member) Server() names.BackendServer { return member.config.Server }

// Service is the plain service of an agent; empty beside a model engine.
func (member Member) Service() names.Service { return member.config.Service }

// WithState returns the member in another state, suspected to have failed or not.
func (member Member) WithState(state State, suspect bool) Member {
	member.config.State = state
	member.config.Suspect = suspect
	return member
}

// Suspect tells that peers could not reach the member lately. It may yet
// answer, and keeps its work and duties until it counts as failed.
func (member Member) Suspect() bool { return member.config.Suspect }
