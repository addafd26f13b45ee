package certs

import (
	"context"
	"net"

	"google.golang.org/grpc/credentials"
)

// ClientCredentials secures the connections of a gRPC client. Each connection
// uses the certificate and authority that are current when it is made.
type ClientCredentials struct {
	loader *Loader
	// serverName, if not empty, overrides the name that the server's certificate
	// must match.
	serverName string
}

var _ credentials.TransportCredentials = (*ClientCredentials)(nil)

// NewClientCredentials returns credentials that use the current certificate and
// authority of loader.
func NewClientCredentials(loader *Loader) *ClientCredentials {
	return &ClientCredentials{loader: loader}
}

// ClientHandshake implements credentials.TransportCredentials.
func (clientCredentials *ClientCredentials) ClientHandshake(ctx context.Context, authority string, connection net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return clientCredentials.current().ClientHandshake(ctx, authority, connection)
}

// ServerHandshake implements credentials.TransportCredentials.
func (clientCredentials *ClientCredentials) ServerHandshake(connection net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return clientCredentials.current().ServerHandshake(connection)
}

// Info implements credentials.TransportCredentials.
func (clientCredentials *ClientCredentials) Info() credentials.ProtocolInfo {
	return clientCredentials.current().Info()
}

// Clone implements credentials.TransportCredentials.
func (clientCredentials *ClientCredentials) Clone() credentials.TransportCredentials {
	clone := *clientCredentials
	return &clone
}

// OverrideServerName implements credentials.TransportCredentials.
//
// Deprecated: it is required by the interface; use grpc.WithAuthority instead.
func (clientCredentials *ClientCredentials) OverrideServerName(name string) error {
	clientCredentials.serverName = name
	return nil
}

func (clientCredentials *ClientCredentials) current() credentials.TransportCredentials {
	config := clientCredentials.loader.ClientConfig()
	config.ServerName = clientCredentials.serverName
	return credentials.NewTLS(config)
}
