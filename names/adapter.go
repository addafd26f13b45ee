package names

// Adapter identifies an adapter of one model; the empty string means no adapter.
type Adapter string
