package admin

import (
	"fmt"
	"strings"
)

// OperatorError reports an operator setting that is not of the form
// name:role:hash.
type OperatorError struct {
	Text string
}

// Error implements error. It shows only the operator's name, not the hash.
func (operatorError *OperatorError) Error() string {
	name, _, _ := strings.Cut(operatorError.Text, ":")
	return fmt.Sprintf("operator %q is not given as name:role:hash", name)
}
