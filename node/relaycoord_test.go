package node

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/setup"
)

// TestStrongInstancesStandFirst checks that strong instances become candidates
// before weak ones, as in a large site with uneven instances: a coordinator on the
// weakest instance is late with loans of tokens and with orders.
func TestStrongInstancesStandFirst(t *testing.T) {
	g := NewWithT(t)
	strong := setup.Host{Cores: 0.8, LinkMbps: 200}
	cases := []struct {
		name string
		weak setup.Host
	}{
		{name: "little of a core", weak: setup.Host{Cores: 0.144, LinkMbps: 200}},
		{name: "a narrow link", weak: setup.Host{Cores: 0.8, LinkMbps: 10}},
	}
	for _, each := range cases {
		for _, names := range [][2]string{{"edge-a-1", "edge-b-1"}, {"edge-a-2", "edge-b-7"}, {"edge-c-3", "edge-a-9"}} {
			strong.Instance, each.weak.Instance = names[0], names[1]
			g.Expect(campaignDelay(&strong)).To(BeNumerically("<", campaignDelay(&each.weak)), each.name)
		}
	}
	g.Expect(campaignDelay(&setup.Host{Instance: "edge-a-1"})).To(BeNumerically("<", campaignSpread), "unknown resources do not delay candidacy")
}
