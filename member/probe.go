package member

// Probe asks an instance whether it is alive and carries changed records to it.
type Probe struct {
	// From is the sender's own record.
	From Record
	// Records are the changes and suspects that the sender passes on.
	Records []Record
	// Bucket names a bucket of the sender's table and Digest is its hash, by which
	// the receiver detects that the tables differ.
	Bucket uint8
	Digest uint64
}

// Reply is the reply to a [Probe].
type Reply struct {
	// From is the sender's own record.
	From    Record
	Records []Record
}
