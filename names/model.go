package names

// Model identifies a base model with its version, for example "notes-7b@3".
type Model string
