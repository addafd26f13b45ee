package spread

import (
	"time"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
)

// Input is an event that a [Node] reacts to. It is sealed; the types in this
// file implement it. All times are on the instance's own monotonic clock.
//
//sumtype:decl
type Input interface{ input() }

// Tick reports that time has passed. It is due every [TickPeriod].
type Tick struct{}

// PeersChanged replaces the list of live instances.
type PeersChanged struct{ Live []Peer }

// StoreRead is the result of a read or watch of the configuration's root.
type StoreRead struct {
	// SentAt is the time just before the call was sent.
	SentAt time.Duration
	// Reached reports whether the platform's service answered, with Version.
	Reached bool
	Version config.Version
}

// Fetched is the result of a [Fetch]. If OK is true, Version is in force. It is
// also sent for a version that this instance has stored itself.
type Fetched struct {
	OK      bool
	Version config.Version
}

// NewsReceived is news from a followed peer, or the reply to an [Exchange].
type NewsReceived struct {
	From names.Instance
	// Anchor is when this instance sent the anchor that the offsets in News count
	// from.
	Anchor time.Duration
	News   News
}

// FollowEnded reports that the stream to a followed peer ended or could not be
// opened.
type FollowEnded struct{ Peer names.Instance }

// AnchorReceived is an anchor from a follower. The first anchor from a peer makes
// it a follower.
type AnchorReceived struct {
	Follower names.Instance
	// AnchorMicros is a time on the follower's clock, returned unchanged with news.
	AnchorMicros  int64
	Version       config.Version
	VersionCounts []VersionCount
}

// FollowerLeft reports that the stream from a follower ended.
type FollowerLeft struct{ Follower names.Instance }

// VersionReported reports that a peer has a version, without other evidence.
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
