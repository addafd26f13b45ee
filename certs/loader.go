package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
)

// keyMaterial holds the content of the files after one load. It is immutable.
type keyMaterial struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// Loader holds the certificate and authority of a [FileSet] as last loaded
// successfully.
type Loader struct {
	files   FileSet
	current atomic.Pointer[keyMaterial]
}

// NewLoader loads files and returns a loader. Its error names the files that
// could not be loaded.
func NewLoader(files FileSet) (*Loader, error) {
	loader := &Loader{files: files}
	if err := loader.Reload(); err != nil {
		return nil, err
	}
	return loader, nil
}

// Reload reads the files again. On an error the previous certificate and
// authority remain in use.
func (loader *Loader) Reload() error {
	certificate, err := tls.LoadX509KeyPair(loader.files.Certificate, loader.files.Key)
	if err != nil {
		return merry.Prependf(err, "certificate %s, key %s", loader.files.Certificate, loader.files.Key)
	}
	material := &keyMaterial{certificate: &certificate}
	if loader.files.Authority != "" {
		material.authority, err = readPool(loader.files.Authority)
		if err != nil {
			return err
		}
	}
	loader.current.Store(material)
	return nil
}

// ServerConfig returns the TLS configuration of a listener. Where the file set
// names an authority, clients must present a certificate signed by it.
func (loader *Loader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return loader.serverSnapshot(), nil
		},
	}
}

// ClientConfig returns the TLS configuration for one client connection, with the
// current certificate and authority. Call it for each connection, so that a
// reload takes effect.
func (loader *Loader) ClientConfig() *tls.Config {
	material := loader.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{*material.certificate},
		RootCAs:      material.authority,
	}
}

func (loader *Loader) serverSnapshot() *tls.Config {
	material := loader.current.Load()
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{*material.certificate},
		NextProtos:   []string{"h2", "http/1.1"},
	}
	if material.authority != nil {
		config.ClientCAs = material.authority
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config
}

func readPool(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Prependf(err, "authority %s", path)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, merry.Errorf("authority %s holds no certificate", path)
	}
	return pool, nil
}
