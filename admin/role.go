package admin

import "slices"

// Role is a set of permissions of an operator. Each role includes the
// permissions of those before it.
type Role string

const (
	// RoleViewer may read the configuration, its history and the quarantines,
	// and make dry runs.
	RoleViewer Role = "viewer"
	// RoleEditor may change the configuration, issue and withdraw keys, and
	// lift quarantines.
	RoleEditor Role = "editor"
	// RoleOwner may also change the signing keys of tickets.
	RoleOwner Role = "owner"
)

var roles = []Role{RoleViewer, RoleEditor, RoleOwner}

// ParseRole returns the role called name, or a *[RoleError].
func ParseRole(name string) (Role, error) {
	if !slices.Contains(roles, Role(name)) {
		return "", &RoleError{Name: name}
	}
	return Role(name), nil
}

// includes reports whether the role has all permissions of needed.
func (role Role) includes(needed Role) bool {
	return slices.Index(roles, role) >= slices.Index(roles, needed)
}
