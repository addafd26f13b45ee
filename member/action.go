package member

// Action is what a [Node] wants done.
type Action interface{ action() }

// SendProbe asks for a probe; the answer becomes [ReplyReceived].
type SendProbe struct {
	Address  string
	Sequence uint64
	Probe    Probe
}

// SendRelay asks the instance at Via to probe the one at Address; if it
// answers, that becomes [RelayReplyReceived].
type SendRelay struct {
	Via      string
	Address  string
	Sequence uint64
	Probe    Probe
}

// SendPush tells an instance of records at once. It is not repeated.
type SendPush struct {
	Address string
	Records []Record
}

// SendReply answers the [ProbeReceived] that was the input.
type SendReply struct{ Reply Reply }

// ReadList asks for a reading of the platform's list.
type ReadList struct{}

// ViewChanged tells that [Node.View] has changed.
type ViewChanged struct{}

// SelfLeaving tells, once, that this instance is to take no new work.
type SelfLeaving struct{}

// HealthChanged tells of a member that others now see differently.
type HealthChanged struct{ Record Record }

func (SendProbe) action()     {}
func (SendRelay) action()     {}
func (SendPush) action()      {}
func (SendReply) action()     {}
func (ReadList) action()      {}
func (ViewChanged) action()   {}
func (SelfLeaving) action()   {}
func (HealthChanged) action() {}
