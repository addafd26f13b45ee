package store

// MaxValueBytes is the maximum size of a value in the service.
const MaxValueBytes = 1 << 20

// Swap is a compare-and-swap operation on one entry.
type Swap struct {
	// Key is the entry to write.
	Key string
	// Expected is the revision that the entry must have; zero means absent.
	Expected Revision
	// Value is the new value.
	Value []byte
	// Lease is the lease that the entry is attached to; zero means none.
	Lease LeaseID
}
