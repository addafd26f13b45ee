package member

// Health is the condition of a member as its monitors report it. Within one
// incarnation a higher value replaces a lower one.
type Health uint8

const (
	// Alive members reply to probes, or no monitor has reported otherwise yet.
	Alive Health = iota
	// Suspect members are accused on at least one ring and may still refute it.
	Suspect
	// Failed members were accused on most rings and did not refute it in time.
	Failed
	// Gone members have failed and are not on the platform's list.
	Gone
)
