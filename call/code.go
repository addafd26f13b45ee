package call

// Code identifies the reason of a refusal. It is part of the interface to
// callers.
type Code string

const (
	// CodeBadRequest refuses a request that is malformed.
	CodeBadRequest Code = "badRequest"
	// CodeTooLarge refuses a body or header that exceeds its size limit.
	CodeTooLarge Code = "tooLarge"
	// CodeUnsupportedMedia refuses a content type other than JSON.
	CodeUnsupportedMedia Code = "unsupportedMedia"
	// CodeUnauthorized refuses a missing, unknown or withdrawn API key.
	CodeUnauthorized Code = "unauthorized"
	// CodeNotFound refuses an unknown model, adapter, service or path.
	CodeNotFound Code = "notFound"
	// CodeRateLimited refuses a request that exceeds the rate and burst of its
	// client account.
	CodeRateLimited Code = "rateLimited"
	// CodeOverloaded refuses a request whose objective can no longer be met.
	CodeOverloaded Code = "overloaded"
	// CodeDraining refuses new requests at a server that is leaving.
	CodeDraining Code = "draining"
	// CodeLoading refuses a request for a model that is being loaded.
	CodeLoading Code = "loading"
	// CodeQuarantined refuses a request that crashed backend servers.
	CodeQuarantined Code = "quarantined"
	// CodeConflict refuses an idempotency key that was used with another body,
	// or whose first request is still in progress.
	CodeConflict Code = "conflict"
	// CodeUnavailable refuses a request because a shared service or a backend
	// server is unavailable.
	CodeUnavailable Code = "unavailable"
	// CodeDeadline ends a request whose deadline has passed.
	CodeDeadline Code = "deadline"
	// CodeCancelled ends a request that its caller canceled.
	CodeCancelled Code = "cancelled"
	// CodeBroken ends a request whose backend server failed while running it.
	CodeBroken Code = "broken"
	// CodeStale refuses a request because the configuration could not be
	// confirmed to be current.
	CodeStale Code = "stale"
)
