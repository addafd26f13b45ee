package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/basilkeel/basilkeel/poison"
)

// Quarantine describes a request that instances refuse because it crashed
// backend servers.
type Quarantine struct {
	Fingerprint string
	Until       time.Time
}

// Quarantines returns the quarantines that the instance knows of.
func (client *Client) Quarantines(ctx context.Context) ([]Quarantine, error) {
	var document quarantinesDocument
	err := client.call(ctx, http.MethodGet, PathPrefix+"quarantines", nil, &document)
	quarantines := make([]Quarantine, 0, len(document.Quarantines))
	for _, each := range document.Quarantines {
		quarantines = append(quarantines, Quarantine(each))
	}
	return quarantines, err
}

// LiftQuarantine ends the quarantine of a fingerprint.
func (client *Client) LiftQuarantine(ctx context.Context, fingerprint poison.Fingerprint) error {
	var document quarantineDocument
	return client.call(ctx, http.MethodPost, PathPrefix+"quarantines/"+fingerprint.String()+"/lift", []byte("{}"), &document)
}
