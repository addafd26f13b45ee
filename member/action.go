package member

// Action is an effect that a [Node] requests from its caller.
type Action interface{ action() }

// SendProbe requests a probe of the instance at Address. Its reply comes back as
// [ReplyReceived].
type SendProbe struct {
	Address  string
	Sequence uint64
	Probe    Probe
}

// SendRelay asks the instance at Via to probe the one at Address. Its reply
// comes back as [RelayReplyReceived].
type SendRelay struct {
	Via      string
	Address  string
	Sequence uint64
	Probe    Probe
}

// SendPush sends records to an instance without waiting for the next probe. It
// is not retried.
type SendPush struct {
	Address string
	Records []Record
}

// SendReply answers the [ProbeReceived] that caused it.
type SendReply struct{ Reply Reply }

// ReadList requests a read of the platform's list of instances. The result
// comes back as [ListReceived].
type ReadList struct{}

// ViewChanged reports that the result of [Node.Members] has changed.
type ViewChanged struct{}

// SelfLeaving reports, once, that this instance must accept no new work.
type SelfLeaving struct{}

// HealthChanged reports that a known member's health has changed.
type HealthChanged struct{ Record Record }

func (SendProbe) action()     {}
func (SendRelay) action()     {}
func (SendPush) action()      {}
func (SendReply) action()     {}
func (ReadList) action()      {}
func (ViewChanged) action()   {}
func (SelfLeaving) action()   {}
func (HealthChanged) action() {}
