package admin

import "slices"

// Role tells what an operator may do. Each role may do what those before it
// may.
type Role string

const (
	// RoleViewer may look at the configuration and its history.
	RoleViewer Role = "viewer"
	// RoleEditor may change the configuration, issue and withdraw keys.
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

// includes tells whether the role may do what needs another.
func (role Role) includes(needed Role) bool {
	return slices.Index(roles, role) >= slices.Index(roles, needed)
}
