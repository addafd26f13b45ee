package names

// Key identifies an access key in configuration; it is not the secret itself.
type Key string
