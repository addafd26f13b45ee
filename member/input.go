package member

import "github.com/basilkeel/basilkeel/fleet"

// Input is what happened to a [Node].
type Input interface{ input() }

// Tick tells that time has passed.
type Tick struct{}

// ListReceived is a reading of the platform's list.
type ListReceived struct{ Members []fleet.Member }

// ProbeReceived is a probe from another instance.
type ProbeReceived struct{ Probe Probe }

// ReplyReceived is the answer to a probe of this instance.
type ReplyReceived struct {
	Sequence uint64
	Reply    Reply
}

// RelayReplyReceived tells that another instance reached the target of a relayed probe.
type RelayReplyReceived struct {
	Sequence uint64
	Reply    Reply
}

// PushReceived is a push from another instance.
type PushReceived struct{ Records []Record }

// Leave tells that this instance is about to stop.
type Leave struct{}

func (Tick) input()               {}
func (ListReceived) input()       {}
func (ProbeReceived) input()      {}
func (ReplyReceived) input()      {}
func (RelayReplyReceived) input() {}
func (PushReceived) input()       {}
func (Leave) input()              {}
