package fleet

import (
	"github.com/basilkeel/basilkeel/names"
)

// View is one instance's knowledge of the fleet. It is immutable.
type View struct {
	members  []Member
	byServer map[names.BackendServer]Member
}

// NewView returns a view of members, which the caller must not change later.
func NewView(members []Member) *View {
	view := &View{members: members, byServer: make(map[names.BackendServer]Member)}
	for _, member := range members {
		if member.Role() == RoleAgent {
			view.byServer[member.Server()] = member
		}
	}
	return view
}

// Members returns all members. The caller must not change the slice.
func (view *View) Members() []Member { return view.members }

// ByRole returns the members with the given role.
func (view *View) ByRole(role Role) []Member {
	var found []Member
	for _, member := range view.members {
		if member.Role() == role {
			found = append(found, member)
		}
	}
	return found
}

// AgentFor returns the agent beside a backend server, and false if there is none.
func (view *View) AgentFor(server names.BackendServer) (Member, bool) {
	member, ok := view.byServer[server]
	return member, ok
}
