package engine

import (
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// TestSealedConnectionWritesNothing checks that a connection that was sealed
// before its first write cannot be written to, which proves that nothing was
// sent.
func TestSealedConnectionWritesNothing(t *testing.T) {
	tables := []struct {
		name   string
		writes bool
	}{
		{"written before", true},
		{"not written", false},
	}
	for _, table := range tables {
		t.Run(table.name, func(t *testing.T) {
			g := NewWithT(t)
			here, there := net.Pipe()
			defer here.Close()
			defer there.Close()
			go func() { _, _ = io.Copy(io.Discard, there) }()
			trackedConn := &trackedConn{Conn: here}
			trackedConn.beginRequest()
			if table.writes {
				_, err := trackedConn.Write([]byte("a"))
				g.Expect(err).NotTo(HaveOccurred())
			}
			g.Expect(trackedConn.sealUnwritten()).To(Equal(!table.writes))
			_, err := trackedConn.Write([]byte("b"))
			g.Expect(err == nil).To(Equal(table.writes))
		})
	}
}
