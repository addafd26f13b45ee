package config

// Version numbers the accepted configurations. It never decreases at any
// instance. Version 0 is the empty configuration before the first change.
type Version int64
