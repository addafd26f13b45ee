package call

import "fmt"

// KindError reports a name that is not a request kind.
type KindError struct {
	// Name is the unknown name.
	Name string
}

// Error implements the error interface.
func (kindError *KindError) Error() string {
	return fmt.Sprintf("unknown request kind %q", kindError.Name)
}
