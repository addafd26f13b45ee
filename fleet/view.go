package fleet

import (
	"github.com/basilkeel/basilkeel/names"
)

// View is what one instance holds to be true of the fleet. It is immutable.
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

// Members lists every member. The caller must not change the slice.
func (view *View) Members() []Member { return view.members }

// ByRole lists the members with role.
func (view *View) ByRole(role Role) []Member {
	var found []Member
	for _, member := range view.members {
		if member.Role() == role {
			found = append(found, member)
		}
	}
	return found
}

// AgentFor returns the agent beside a backend server.
func (view *View) AgentFor(server names.BackendServer) (Member, bool) {
	member, ok := view.byServer[server]
	return member, ok
}
