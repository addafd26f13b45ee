package fleet

// Role is the kind of process that an instance runs.
type Role string

const (
	// RoleEntry instances serve callers' requests.
	RoleEntry Role = "entry"
	// RoleAgent instances run beside a model engine or plain service.
	RoleAgent Role = "agent"
)
