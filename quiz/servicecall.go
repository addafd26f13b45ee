package quiz

// ServiceCall describes a call of a plain service.
type ServiceCall struct {
	Service string
	// Method is the HTTP method; empty means any.
	Method string
	Path   string
	// Order reports whether the call changes something, such as a booking.
	Order      bool
	Repeatable bool
	Open       bool
	Tokens     int64
}
