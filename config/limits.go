package config

// Limits on a configuration and its changes. [Validate] checks them, except for
// [MaxEdits], which [Apply] checks.
const (
	// MaxNameBytes bounds every name.
	MaxNameBytes = 128
	// MaxAccounts bounds the client accounts.
	MaxAccounts = 5_000
	// MaxKeys bounds the keys, withdrawn ones included.
	MaxKeys = 50_000
	// MaxModels bounds the models.
	MaxModels = 2_000
	// MaxAdapters bounds the adapters of one model.
	MaxAdapters = 1_000
	// MaxRoutes bounds the routes of all services.
	MaxRoutes = 5_000
	// MaxPathBytes bounds a route's path prefix.
	MaxPathBytes = 1_024
	// MaxSigningKeys bounds the signing keys in rotation.
	MaxSigningKeys = 8
	// MaxEdits bounds the edits of one change.
	MaxEdits = 1_000
	// hashDigits is the length of a keyed hash in hexadecimal digits.
	hashDigits = 64
)
