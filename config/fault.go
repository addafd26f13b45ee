package config

// Fault is one reason why a configuration is not valid.
type Fault struct {
	// Path is the path of the invalid part, such as "keys/desk-1/account".
	Path string
	// Problem describes what is wrong with the part.
	Problem string
}

// String returns the path and the problem on one line.
func (fault Fault) String() string { return fault.Path + ": " + fault.Problem }
