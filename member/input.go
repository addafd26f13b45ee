package member

import "github.com/basilkeel/basilkeel/fleet"

// Input is an event that a [Node] handles.
type Input interface{ input() }

// Tick reports that time has passed.
type Tick struct{}

// ListReceived carries the result of a [ReadList].
type ListReceived struct{ Members []fleet.Member }

// ProbeReceived carries a probe from another instance.
type ProbeReceived struct{ Probe Probe }

// ReplyReceived carries the reply to a [SendProbe].
type ReplyReceived struct {
	Sequence uint64
	Reply    Reply
}

// RelayReplyReceived carries the reply that another instance obtained for a
// [SendRelay].
type RelayReplyReceived struct {
	Sequence uint64
	Reply    Reply
}

// PushReceived carries the records that another instance pushed.
type PushReceived struct{ Records []Record }

// Leave reports that this instance is about to stop.
type Leave struct{}

func (Tick) input()               {}
func (ListReceived) input()       {}
func (ProbeReceived) input()      {}
func (ReplyReceived) input()      {}
func (RelayReplyReceived) input() {}
func (PushReceived) input()       {}
func (Leave) input()              {}
