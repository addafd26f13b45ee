package place

// statusReport is the last status that an agent sent, with its content hash.
type statusReport struct {
	server  Server
	content uint64
}
