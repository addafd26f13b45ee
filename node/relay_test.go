package node

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestCrashesAreFoundWithinContact checks the delay of crash detection for
// deployments with different reaction times.
func TestCrashesAreFoundWithinContact(t *testing.T) {
	g := NewWithT(t)
	g.Expect(crashConfirmDelay(3 * time.Second)).To(Equal(1500 * time.Millisecond))
	g.Expect(crashConfirmDelay(2 * time.Second)).To(Equal(time.Second))
	g.Expect(crashConfirmDelay(time.Minute)).To(Equal(maxCrashConfirmDelay))
	g.Expect(crashConfirmDelay(0)).To(Equal(maxCrashConfirmDelay), "reaction time unknown")
}
