package spread

import (
	"fmt"

	"github.com/basilkeel/basilkeel/names"
)

// PeerError reports an instance that is not in the list of live instances.
type PeerError struct {
	Instance names.Instance
}

// Error implements error.
func (peerError *PeerError) Error() string {
	return fmt.Sprintf("instance %s is not in the list of live instances", peerError.Instance)
}
