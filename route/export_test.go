package route

import "github.com/basilkeel/basilkeel/names"

// Knows reports whether the router keeps state of a server.
func (router *Router) Knows(name names.BackendServer) bool {
	_, known := router.servers[name]
	return known
}
