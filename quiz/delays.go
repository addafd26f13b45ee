package quiz

import "github.com/basilkeel/basilkeel/call"

// Delays holds what each kind of request tolerates.
type Delays struct {
	Interactive Delay
	Verdict     Delay
	Transaction Delay
	Batch       Delay
}

// ForKind returns what requests of kind tolerate.
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
