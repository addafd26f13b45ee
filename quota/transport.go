package quota

import "context"

// Transport carries messages to other instances. Methods are safe for
// concurrent use.
type Transport interface {
	// Exchange sends exchange to the instance that serves at address.
	Exchange(ctx context.Context, address string, exchange Exchange) (Answer, error)
	// Vote sends vote to the instance that serves at address.
	Vote(ctx context.Context, address string, vote Vote) (bool, error)
	// ConnectionRefused tells whether the host at address answers that nothing listens
	// there. No answer, or any other, is not a refusal.
	ConnectionRefused(ctx context.Context, address string) bool
}
