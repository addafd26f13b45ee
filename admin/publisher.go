package admin

import (
	"context"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/spread"
)

// Publisher brings a stored version into force. [spread.Service] implements it.
type Publisher interface {
	config.Source
	// Adopt brings a version into force at this instance.
	Adopt(bundle *config.Bundle) error
	// Publish announces a version to the relays. It reports whether the relays
	// of at least one failure domain know of the version.
	Publish(ctx context.Context, version config.Version) bool
	// Rollout returns on how many instances a version or a later one is in
	// force, and how many instances are live.
	Rollout(ctx context.Context, version config.Version) spread.Rollout
}

var _ Publisher = (*spread.Service)(nil)
