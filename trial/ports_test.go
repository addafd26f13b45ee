package trial

import (
	"context"
	"net"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
)

// TestAddressesAreNotThoseOfConnections allocates as many addresses as a large
// fleet needs. None may be returned twice, and none may have a port that the kernel
// assigns to outgoing connections.
func TestAddressesAreNotThoseOfConnections(t *testing.T) {
	g := NewWithT(t)
	seen := map[string]bool{}
	for range 300 {
		address, err := freeAddress(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(seen[address]).To(BeFalse(), address)
		seen[address] = true
		_, text, err := net.SplitHostPort(address)
		g.Expect(err).NotTo(HaveOccurred())
		port, err := strconv.Atoi(text)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(port).To(BeNumerically("<", 32768))
	}
}
