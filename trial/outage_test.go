package trial_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/trial"
)

var _ = Describe("an outage of the platform's service", func() {
	It("refuses no request of a fleet that is settled", func(ctx SpecContext) {
		cluster := startCluster(ctx, trial.Config{Entries: 3, PlainServices: 2})
		awaitSeats(ctx, cluster)
		Expect(cluster.Post(ctx, cluster.ControlURL()+"/kv/faults", map[string]any{"refuse": true})).To(Succeed())
		Consistently(func(g Gomega) {
			for _, entry := range cluster.Entries() {
				g.Expect(getStatus(ctx, http.DefaultClient, trial.Secret, entry.URL+servicePath+"/stock")).To(Equal(http.StatusOK), entry.Name())
			}
		}).WithTimeout(2 * longerThanFreshness).Should(Succeed())
	}, SpecTimeout(2*waitTimeout))
})
