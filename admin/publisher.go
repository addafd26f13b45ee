package admin

import (
	"context"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/spread"
)

// Publisher brings a stored version into force; a [spread.Service] is one.
type Publisher interface {
	config.Source
	// Adopt brings a version into force at this instance.
	Adopt(holding *config.Holding) error
	// Publish tells the relays; it returns whether a failure domain knows.
	Publish(ctx context.Context, version config.Version) bool
	// Rollout tells how far a version has come.
	Rollout(ctx context.Context, version config.Version) spread.Rollout
}

var _ Publisher = (*spread.Service)(nil)
