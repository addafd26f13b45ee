package trial

import (
	"context"
	"net"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
)

// TestAddressesAreNotThoseOfConnections asks for as many addresses as some fleets
// have: none may be given twice, or be one that an outgoing connection may take.
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
