package spread

import (
	"time"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
)

// Action is what a [Node] wants done. It is sealed; the types in this file
// implement it.
//
//sumtype:decl
type Action interface{ action() }

// ReadStore reads the root's version from the platform's service. Its outcome
// is a [StoreRead] with Asked, after at most [ReadTimeout].
type ReadStore struct{ SentAt time.Duration }

// WatchStore begins or ends the watch of the root.
type WatchStore struct{ On bool }

// Fetch brings the configuration into force, from a peer or, where Peer is
// empty, from the platform's service. Its outcome is a [Fetched].
type Fetch struct {
	Peer    names.Instance
	Version config.Version
}

// Follow begins to follow a peer; [SendAnchor] actions come after it.
type Follow struct{ Peer names.Instance }

// Unfollow ends a Follow.
type Unfollow struct{ Peer names.Instance }

// SendAnchor sends an anchor to a followed peer.
type SendAnchor struct {
	Peer          names.Instance
	Anchor        time.Duration
	Version       config.Version
	VersionCounts []VersionCount
}

// SendNews sends news to a follower.
type SendNews struct {
	Follower     names.Instance
	AnchorMicros int64
	News         News
}

// DropFollower ends the stream of a follower that is one too many.
type DropFollower struct{ Follower names.Instance }

// Exchange compares versions with a peer; its outcome is a [NewsReceived].
type Exchange struct {
	Peer   names.Instance
	Anchor time.Duration
}

func (ReadStore) action()    {}
func (WatchStore) action()   {}
func (Fetch) action()        {}
func (Follow) action()       {}
func (Unfollow) action()     {}
func (SendAnchor) action()   {}
func (SendNews) action()     {}
func (DropFollower) action() {}
func (Exchange) action()     {}
