package spread

import (
	"time"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
)

// Input is what a [Node] reacts to. It is sealed; the types in this file
// implement it. All times are on the instance's own monotonic clock.
//
//sumtype:decl
type Input interface{ input() }

// Tick lets time pass.
type Tick struct{}

// PeersChanged replaces the list of live instances.
type PeersChanged struct{ Live []Peer }

// StoreRead is the outcome of a read or watch of the root.
type StoreRead struct {
	// SentAt is the time before the call was sent.
	SentAt time.Duration
	// Reached tells that the service answered with Version.
	Reached bool
	Version config.Version
}

// Fetched is the outcome of a [Fetch]. Version is in force where OK is set.
type Fetched struct {
	OK      bool
	Version config.Version
}

// NewsReceived is news of a followed peer, or the answer to an [Exchange].
type NewsReceived struct {
	From names.Instance
	// Anchor is the time at which this instance sent the anchor that the
	// offsets count from.
	Anchor time.Duration
	News   News
}

// FollowEnded tells that a followed peer is not there or refuses.
type FollowEnded struct{ Peer names.Instance }

// AnchorReceived is an anchor of a follower; the first one makes it a follower.
type AnchorReceived struct {
	Follower names.Instance
	// AnchorMicros is the follower's clock, returned with news as it is.
	AnchorMicros  int64
	Version       config.Version
	VersionCounts []VersionCount
}

// FollowerLeft tells that a follower is gone.
type FollowerLeft struct{ Follower names.Instance }

// VersionReported tells that a peer has a version, without other evidence.
type VersionReported struct {
	From    names.Instance
	Version config.Version
}

func (Tick) input()            {}
func (PeersChanged) input()    {}
func (StoreRead) input()       {}
func (Fetched) input()         {}
func (NewsReceived) input()    {}
func (FollowEnded) input()     {}
func (AnchorReceived) input()  {}
func (FollowerLeft) input()    {}
func (VersionReported) input() {}
