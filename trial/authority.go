package trial

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/basilkeel/basilkeel/certs"
)

// certificateLifetime is how long the certificates are valid.
const certificateLifetime = time.Hour

// Authority signs the certificates of a fleet.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key and a self-signed certificate.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := certificateTemplate(1)
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(encoded)
	return &Authority{certificate: certificate, key: key}, err
}

// Pool returns a certificate pool with the authority's certificate only.
func (authority *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(authority.certificate)
	return pool
}

// Issue writes a certificate for 127.0.0.1, its key and the authority's own
// certificate to directory.
func (authority *Authority) Issue(directory string, serial int64) (certs.FileSet, error) {
	files := certs.FileSet{
		Certificate: filepath.Join(directory, "cert.pem"),
		Key:         filepath.Join(directory, "key.pem"),
		Authority:   filepath.Join(directory, "ca.pem"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, err
	}
	template := certificateTemplate(serial)
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	encoded, err := x509.CreateCertificate(rand.Reader, template, authority.certificate, &key.PublicKey, authority.key)
	if err != nil {
		return files, err
	}
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return files, err
	}
	if err := writePEM(files.Certificate, "CERTIFICATE", encoded); err != nil {
		return files, err
	}
	if err := writePEM(files.Key, "PRIVATE KEY", encodedKey); err != nil {
		return files, err
	}
	return files, writePEM(files.Authority, "CERTIFICATE", authority.certificate.Raw)
}

func certificateTemplate(serial int64) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: "trial"},
		NotBefore:    now.Add(-certificateLifetime),
		NotAfter:     now.Add(certificateLifetime),
	}
}

func writePEM(path, kind string, content []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600)
}
