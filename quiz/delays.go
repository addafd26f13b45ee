package quiz

import "github.com/basilkeel/basilkeel/call"

// Delays holds the latency bounds of each kind of request.
type Delays struct {
	Interactive Delay
	Verdict     Delay
	Transaction Delay
	Batch       Delay
}

// ForKind returns the latency bounds of a kind of request.
func (delays *Delays) ForKind(kind call.Kind) Delay {
	switch kind {
	case call.KindInteractive:
		return delays.Interactive
	case call.KindVerdict:
		return delays.Verdict
	case call.KindTransaction:
		return delays.Transaction
	default:
		return delays.Batch
	}
}
