package coord_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/coord"
	"github.com/basilkeel/basilkeel/permit"
)

// TestDemandForAnUnreadableModelDoesNotStopReports guards against a caller whose model
// name cuts its entry off from the coordinator.
func TestDemandForAnUnreadableModelDoesNotStopReports(t *testing.T) {
	g := NewWithT(t)
	identity, _ := (&gate{}).start(t, newCoordinator(t, &lease{}))
	client := startClient(t)
	client.AddDemand("notes", "m\xff", 1)
	client.AddWaiting("notes", "\xc3\x28", 1)
	client.SetCoordinator(identity)
	g.Eventually(client.Reachable, 5*time.Second).Should(BeTrue())
}

// TestCallersThatLeaveDoNotMakeTheCoordinatorUnresponsive guards against callers that end
// their requests while these wait for a permit, and so keep others from asking for one.
func TestCallersThatLeaveDoNotMakeTheCoordinatorUnresponsive(t *testing.T) {
	g := NewWithT(t)
	identity, _ := (&gate{}).start(t, newCoordinator(t, &lease{}))
	client := newClient(t)
	client.SetCoordinator(identity)
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	_, _, err := client.Permit(gone, permit.Application{})
	g.Expect(err).To(HaveOccurred())
	_, _, err = client.Permit(context.Background(), permit.Application{})
	var unanswered *coord.NoAnswerError
	g.Expect(errors.As(err, &unanswered)).To(BeFalse(), "the coordinator has not failed to answer: %v", err)
}
