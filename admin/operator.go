package admin

import (
	"strings"
)

// OperatorConfig configures an [Operator].
type OperatorConfig struct {
	Name string
	Role Role
	// Hash is the keyed hash of the operator's token.
	Hash string
}

// Operator is a user of the administration API. It holds a keyed hash of the
// user's token, not the token itself.
type Operator struct {
	config OperatorConfig
}

// NewOperator returns the operator described by config.
func NewOperator(config OperatorConfig) Operator { return Operator{config: config} }

// Name returns the name that identifies the operator in the history.
func (operator Operator) Name() string { return operator.config.Name }

// Role returns the operator's role.
func (operator Operator) Role() Role { return operator.config.Role }

// Hash returns the keyed hash of the operator's token.
func (operator Operator) Hash() string { return operator.config.Hash }

// ParseOperator parses the form name:role:hash used in settings. Its errors are
// *[OperatorError] or *[RoleError].
func ParseOperator(text string) (Operator, error) {
	fields := strings.Split(text, ":")
	if len(fields) != 3 || fields[0] == "" || fields[2] == "" {
		return Operator{}, &OperatorError{Text: text}
	}
	role, err := ParseRole(fields[1])
	if err != nil {
		return Operator{}, err
	}
	return NewOperator(OperatorConfig{Name: fields[0], Role: role, Hash: fields[2]}), nil
}
