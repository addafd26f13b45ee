package node

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/basilkeel/basilkeel/certs"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/event"
)

// reloadPeriod is the interval at which certificate files are reloaded.
const reloadPeriod = 30 * time.Second

// security contains the certificates for one kind of connection; a nil loader
// means plaintext.
type security struct {
	loader *certs.Loader
}

// newSecurity loads files and reloads them periodically until ctx is done.
func newSecurity(ctx context.Context, files certs.FileSet, clock *clock.Service, log logrus.FieldLogger) (security, error) {
	if files.Empty() {
		return security{}, nil
	}
	loader, err := certs.NewLoader(files)
	if err != nil {
		return security{}, err
	}
	clock.Subscribe(ctx, reloadPeriod, func(context.Context, time.Time) {
		if err := loader.Reload(); err != nil {
			event.CertificateKept.Log(log, logrus.Fields{"cause": err.Error()})
		}
	})
	return security{loader: loader}, nil
}

// serverTLS returns the listener's TLS configuration; nil means plaintext.
func (security security) serverTLS() *tls.Config {
	if security.loader == nil {
		return nil
	}
	return security.loader.ServerConfig()
}

// serverOption returns the credentials of a gRPC server for the system's own
// processes.
func (security security) serverOption() grpc.ServerOption {
	if security.loader == nil {
		return grpc.Creds(insecure.NewCredentials())
	}
	return grpc.Creds(credentials.NewTLS(security.loader.ServerConfig()))
}

// clientCredentials returns the credentials of a gRPC client; they are plaintext
// if no certificate is configured.
func (security security) clientCredentials() credentials.TransportCredentials {
	if security.loader == nil {
		return insecure.NewCredentials()
	}
	return certs.NewClientCredentials(security.loader)
}

// dialOption returns the credentials of a gRPC client of the system's own
// processes.
func (security security) dialOption() grpc.DialOption {
	return grpc.WithTransportCredentials(security.clientCredentials())
}
