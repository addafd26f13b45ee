package crash

// Subject is what is suspected of crashing servers: a request, or a part of prompts.
type Subject struct {
	Fingerprint Fingerprint
	// Part reports whether the subject is a part of prompts, which many requests share.
	Part bool
}
