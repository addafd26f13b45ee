package admin

import "fmt"

// RoleError reports a name that is not a role.
type RoleError struct {
	Name string
}

// Error implements error.
func (roleError *RoleError) Error() string {
	return fmt.Sprintf("unknown role %q; use viewer, editor or owner", roleError.Name)
}
