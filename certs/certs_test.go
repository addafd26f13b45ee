package certs_test

import (
	"context"
	"crypto/tls"
	"math/big"
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/certs"
	"github.com/basilkeel/basilkeel/trial"
)

func newAuthority(g Gomega) *trial.Authority {
	authority, err := trial.NewAuthority()
	g.Expect(err).NotTo(HaveOccurred())
	return authority
}

func issue(g Gomega, authority *trial.Authority, directory string, serial int64) certs.FileSet {
	files, err := authority.Issue(directory, serial)
	g.Expect(err).NotTo(HaveOccurred())
	return files
}

// handshake connects client to server and returns the serial number of the
// certificate that the client received.
func handshake(server, client *tls.Config) (*big.Int, error) {
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		return nil, err
	}
	defer listener.Close()
	accepted := make(chan error, 1)
	go func() {
		connection, err := listener.Accept()
		if err == nil {
			_, err = connection.Write([]byte("x"))
			connection.Close()
		}
		accepted <- err
	}()
	dialer := &tls.Dialer{Config: client}
	connection, err := dialer.DialContext(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		return nil, err
	}
	defer connection.Close()
	if _, err := connection.Read(make([]byte, 1)); err != nil {
		return nil, err
	}
	return connection.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber, <-accepted
}

func TestMutualTrust(t *testing.T) {
	g := NewWithT(t)
	ours, theirs := newAuthority(g), newAuthority(g)
	server, err := certs.NewLoader(issue(g, ours, t.TempDir(), 2))
	g.Expect(err).NotTo(HaveOccurred())
	sameAuthority, err := certs.NewLoader(issue(g, ours, t.TempDir(), 3))
	g.Expect(err).NotTo(HaveOccurred())
	otherAuthority, err := certs.NewLoader(issue(g, theirs, t.TempDir(), 4))
	g.Expect(err).NotTo(HaveOccurred())

	tables := []struct {
		title          string
		server, client *tls.Config
		trusted        bool
	}{
		{"same authority", server.ServerConfig(), sameAuthority.ClientConfig(), true},
		{"client of another authority", server.ServerConfig(), otherAuthority.ClientConfig(), false},
		{"server of another authority", otherAuthority.ServerConfig(), sameAuthority.ClientConfig(), false},
		{"client without a certificate", server.ServerConfig(), &tls.Config{InsecureSkipVerify: true}, false},
	}
	for _, table := range tables {
		_, err := handshake(table.server, table.client)
		g.Expect(err == nil).To(Equal(table.trusted), table.title)
	}
}

func TestNameMustMatch(t *testing.T) {
	g := NewWithT(t)
	ours := newAuthority(g)
	server, err := certs.NewLoader(issue(g, ours, t.TempDir(), 2))
	g.Expect(err).NotTo(HaveOccurred())
	client := server.ClientConfig()
	for _, name := range []string{"another.example", "127.0.0.2"} {
		client.ServerName = name
		_, err = handshake(server.ServerConfig(), client)
		g.Expect(err).To(HaveOccurred(), name)
	}
}

func TestReloadWithoutRestart(t *testing.T) {
	g := NewWithT(t)
	ours := newAuthority(g)
	directory := t.TempDir()
	loader, err := certs.NewLoader(issue(g, ours, directory, 2))
	g.Expect(err).NotTo(HaveOccurred())
	server := loader.ServerConfig()
	serial, err := handshake(server, loader.ClientConfig())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(serial.Int64()).To(BeEquivalentTo(2))

	next := issue(g, newAuthority(g), directory, 5)
	g.Expect(loader.Reload()).To(Succeed())
	serial, err = handshake(server, loader.ClientConfig())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(serial.Int64()).To(BeEquivalentTo(5))

	g.Expect(os.WriteFile(next.Key, []byte("broken"), 0o600)).To(Succeed())
	g.Expect(loader.Reload()).NotTo(Succeed())
	serial, err = handshake(server, loader.ClientConfig())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(serial.Int64()).To(BeEquivalentTo(5))
}
