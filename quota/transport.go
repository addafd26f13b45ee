package quota

import "context"

// Transport sends messages to other instances. Its methods are safe for
// concurrent use.
type Transport interface {
	// Exchange sends exchange to the instance that serves at address.
	Exchange(ctx context.Context, address string, exchange Exchange) (Answer, error)
	// Vote sends vote to the instance that serves at address.
	Vote(ctx context.Context, address string, vote Vote) (bool, error)
	// ConnectionRefused reports whether the host at address actively refuses a
	// connection. A timeout or any other error is not a refusal.
	ConnectionRefused(ctx context.Context, address string) bool
}
