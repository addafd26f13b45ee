package call

import "fmt"

// Kind classifies a request by the service that its caller expects.
type Kind int

const (
	// KindInteractive is a streamed completion that a person waits for.
	KindInteractive Kind = iota + 1
	// KindVerdict is a completion that is useful only if it is complete by its
	// deadline.
	KindVerdict
	// KindTransaction is a call to a plain service, such as an order or a lookup.
	KindTransaction
	// KindBatch is a request without urgency, which may wait for others.
	KindBatch
)

// Kinds returns all kinds, most urgent first.
func Kinds() []Kind {
	return []Kind{KindInteractive, KindVerdict, KindTransaction, KindBatch}
}

// String returns the name used in settings, logs and reports.
func (kind Kind) String() string {
	switch kind {
	case KindInteractive:
		return "interactive"
	case KindVerdict:
		return "verdict"
	case KindTransaction:
		return "transaction"
	case KindBatch:
		return "batch"
	default:
		return fmt.Sprintf("kind(%d)", int(kind))
	}
}

// ParseKind is the inverse of [Kind.String].
// It returns a *[KindError] for a name that is not a kind.
func ParseKind(name string) (Kind, error) {
	for _, kind := range Kinds() {
		if kind.String() == name {
			return kind, nil
		}
	}
	return 0, &KindError{Name: name}
}
