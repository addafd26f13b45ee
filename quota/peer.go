package quota

import "github.com/basilkeel/basilkeel/names"

// Peer is one live instance that may hold seats.
type Peer struct {
	Instance names.Instance
	Address  string
	Domain   names.FailureDomain
}

// Peers provides the instances that this one believes to be live, including
// itself and excluding those that are leaving. It may lag and differ between
// instances: of two that claim one seat, the platform's service accepts one.
type Peers interface {
	Live() []Peer
}
