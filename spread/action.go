package spread

import (
	"time"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
)

// Action is a side effect that a [Node] requests. It is sealed; the types in
// this file implement it.
//
//sumtype:decl
type Action interface{ action() }

// ReadStore reads the version of the configuration's root from the platform's
// service. Its result is a [StoreRead] with the same SentAt, after at most
// [ReadTimeout]. A root that is read but cannot be decoded gives no result.
type ReadStore struct{ SentAt time.Duration }

// WatchStore starts or stops the watch of the root.
type WatchStore struct{ On bool }

// Fetch loads the configuration and puts it in force. It loads from Peer, or
// from the platform's service if Peer is empty. Its result is a [Fetched].
type Fetch struct {
	Peer    names.Instance
	Version config.Version
}

// Follow opens a stream to a peer. [SendAnchor] actions for the peer follow it.
type Follow struct{ Peer names.Instance }

// Unfollow closes the stream that a [Follow] opened.
type Unfollow struct{ Peer names.Instance }

// SendAnchor sends an anchor to a followed peer: a timestamp of this instance's
// clock, from which the peer counts the offsets in its news.
type SendAnchor struct {
	Peer          names.Instance
	Anchor        time.Duration
	Version       config.Version
	VersionCounts []VersionCount
}

// SendNews sends news to a follower, with the anchor that it counts from.
type SendNews struct {
	Follower     names.Instance
	AnchorMicros int64
	News         News
}

// DropFollower closes the stream of a follower that exceeds the limit or no
// longer sends anchors.
type DropFollower struct{ Follower names.Instance }

// Exchange compares versions with a peer. Its result is a [NewsReceived].
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
