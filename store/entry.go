package store

// EntryConfig carries the fields of an [Entry].
type EntryConfig struct {
	Key      string
	Value    []byte
	Revision Revision
	Deleted  bool
	// Lease is the lease with which the key ends, zero if there is none or if the source
	// of the entry does not tell.
	Lease LeaseID
}

// Entry is one key with its value at one revision. It is immutable; callers
// must not change the bytes of its value.
type Entry struct {
	config EntryConfig
}

// NewEntry returns the entry described by config.
func NewEntry(config EntryConfig) Entry { return Entry{config: config} }

// Key returns the entry's key.
func (entry Entry) Key() string { return entry.config.Key }

// Value returns the entry's value, at most [MaxValueBytes] long.
func (entry Entry) Value() []byte { return entry.config.Value }

// Revision returns the revision of the entry's last write.
func (entry Entry) Revision() Revision { return entry.config.Revision }

// Lease returns the lease with which the key ends, zero if there is none or if the source
// of the entry does not tell.
func (entry Entry) Lease() LeaseID { return entry.config.Lease }

// Deleted reports whether the key was deleted; only a watch returns such
// entries.
func (entry Entry) Deleted() bool { return entry.config.Deleted }
