package trial_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/trial"
)

// crashCounts returns the number of crashes of each model engine, and expects that
// none overcommitted its memory.
func crashCounts(ctx context.Context, cluster *trial.Cluster) []int {
	var counts []int
	for _, agent := range cluster.Agents() {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, agent.ServerURL+"/truth", http.NoBody)
		Expect(err).NotTo(HaveOccurred())
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		var truth struct {
			Crashes    int `json:"crashes"`
			Violations int `json:"violations"`
		}
		Expect(json.NewDecoder(response.Body).Decode(&truth)).To(Succeed())
		Expect(response.Body.Close()).To(Succeed())
		Expect(truth.Violations).To(BeZero(), "accelerator memory was overcommitted")
		counts = append(counts, truth.Crashes)
	}
	return counts
}

// countCrashed returns the number of model engines that have crashed.
func countCrashed(counts []int) int {
	servers := 0
	for _, count := range counts {
		if count > 0 {
			servers++
		}
	}
	return servers
}

// requestCompletion requests a short completion and returns the status.
func requestCompletion(ctx context.Context, url, prompt string) int {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":40}`, trial.Model, prompt)
	response := send(ctx, http.DefaultClient, http.MethodPost, url+textPath, body, nil)
	Expect(response.Body.Close()).To(Succeed())
	return response.StatusCode
}

var _ = Describe("a request that crashes model engines", func() {
	It("costs two of them at most, however often and wherever it is sent again, and quarantines no neighbour", func(ctx SpecContext) {
		cluster := startCluster(ctx, trial.Config{Entries: 3, Engines: 5})
		for _, agent := range cluster.Agents() {
			Expect(cluster.Post(ctx, agent.ServerURL+"/faults", map[string]any{"crashMarker": "CRASH"})).To(Succeed())
		}
		var group sync.WaitGroup
		neighbours := make([]*stream, 12)
		for number := range neighbours {
			neighbours[number] = openQueuedStream(ctx, http.DefaultClient, cluster.Entries()[number%3].URL, fmt.Sprint("neighbour ", number), streamPieces)
			group.Go(func() {
				defer GinkgoRecover()
				neighbours[number].read(0)
			})
		}
		for number := range 12 {
			Expect(requestCompletion(ctx, cluster.Entries()[number%3].URL, "CRASH this")).NotTo(Equal(http.StatusOK))
		}
		group.Wait()
		Expect(countCrashed(crashCounts(ctx, cluster))).To(BeNumerically("<=", 2))
		for number, neighbour := range neighbours {
			if neighbour.done {
				Expect(neighbour.text).To(Equal(neighbour.expected()), "neighbour %d", number)
				continue
			}
			// It ran beside the crashing request in both crashes. Its outcome is
			// unknown, and it is served when it is sent again.
			Expect(neighbour.failure).To(ContainSubstring(`"outcome":"unknown"`), "neighbour %d", number)
			Eventually(func() int { return requestCompletion(ctx, cluster.Entries()[0].URL, neighbour.prompt) }).
				WithTimeout(waitTimeout).Should(Equal(http.StatusOK), "neighbour %d", number)
		}
		Expect(requestCompletion(ctx, cluster.Entries()[0].URL, "CRASH this")).NotTo(Equal(http.StatusOK))
		Expect(countCrashed(crashCounts(ctx, cluster))).To(BeNumerically("<=", 2))
	}, SpecTimeout(2*waitTimeout))
})
