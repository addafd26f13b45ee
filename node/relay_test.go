package node

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestCrashesAreFoundWithinContact computes the silence of deployments that act
// faster and slower.
func TestCrashesAreFoundWithinContact(t *testing.T) {
	g := NewWithT(t)
	g.Expect(crashSilence(3 * time.Second)).To(Equal(1500 * time.Millisecond))
	g.Expect(crashSilence(2 * time.Second)).To(Equal(time.Second))
	g.Expect(crashSilence(time.Minute)).To(Equal(longestCrashSilence))
	g.Expect(crashSilence(0)).To(Equal(longestCrashSilence), "not told")
}
