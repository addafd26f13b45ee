package place

// statusReport is the status that an agent last sent, with the hash of its content.
type statusReport struct {
	server  Server
	content uint64
}
