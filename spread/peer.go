package spread

import "github.com/basilkeel/basilkeel/names"

// Peer is a live instance.
type Peer struct {
	Instance names.Instance
	// Address is the host and port at which the instance serves its peers.
	Address string
	Domain  names.FailureDomain
	Region  names.Region
}
