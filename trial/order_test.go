package trial_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/trial"
)

// orderAnswer is the response to an order. Status 0 means that the connection
// failed.
type orderAnswer struct {
	status  int
	outcome string
	body    string
}

// placeOrder sends an order with an idempotency key, or without one if key is empty.
func placeOrder(ctx context.Context, url, key, body string) orderAnswer {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+servicePath+"/orders", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header = keyedHeader("X-Request-Timeout", "3s")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return orderAnswer{}
	}
	defer response.Body.Close()
	answered, err := io.ReadAll(response.Body)
	if err != nil {
		return orderAnswer{}
	}
	var refusal struct {
		Error struct {
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	// A response of the service itself has no outcome, but decodes as well.
	Expect(json.Unmarshal(answered, &refusal)).To(Succeed())
	return orderAnswer{status: response.StatusCode, outcome: refusal.Error.Outcome, body: string(answered)}
}

// executions returns how often the plain services ran each request, and expects
// that no access key reached them.
func executions(ctx context.Context, cluster *trial.Cluster) map[string]int {
	counts := make(map[string]int)
	for _, agent := range cluster.Agents() {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, agent.ServerURL+"/counts", http.NoBody)
		Expect(err).NotTo(HaveOccurred())
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		var ran struct {
			Requests map[string]int `json:"requests"`
			Leaks    int            `json:"leaks"`
		}
		Expect(json.NewDecoder(response.Body).Decode(&ran)).To(Succeed())
		Expect(response.Body.Close()).To(Succeed())
		Expect(ran.Leaks).To(BeZero(), "a caller's key reached a backend server")
		for name, count := range ran.Requests {
			counts[name] += count
		}
	}
	return counts
}

// executionsSince returns how many executions there were since the counts in
// earlier.
func executionsSince(ctx context.Context, cluster *trial.Cluster, earlier map[string]int) int {
	sum := 0
	for name, count := range executions(ctx, cluster) {
		sum += count - earlier[name]
	}
	return sum
}

var _ = Describe("an order", Ordered, func() {
	const body = `{"item":"rack timber","count":40}`

	var (
		cluster *trial.Cluster
		earlier map[string]int
	)

	BeforeAll(func(ctx SpecContext) {
		cluster = startCluster(ctx, trial.Config{Entries: 3, PlainServices: 2})
	}, NodeTimeout(waitTimeout))

	BeforeEach(func(ctx SpecContext) {
		earlier = executions(ctx, cluster)
	}, NodeTimeout(waitTimeout))

	services := func(ctx context.Context, faults map[string]any) {
		for _, agent := range cluster.Agents() {
			Expect(cluster.Post(ctx, agent.ServerURL+"/faults", faults)).To(Succeed())
		}
	}
	platform := func(ctx context.Context, faults map[string]any) {
		Expect(cluster.Post(ctx, cluster.ControlURL()+"/kv/faults", faults)).To(Succeed())
	}
	url := func(number int) string { return cluster.Entries()[number].URL }

	It("runs once for all its repeats through any entry, which get its answer", func(ctx SpecContext) {
		first := placeOrder(ctx, url(0), "one", body)
		Expect(first.status).To(Equal(http.StatusOK))
		for number := range cluster.Entries() {
			Expect(placeOrder(ctx, url(number), "one", body)).To(Equal(first))
		}
		Expect(executionsSince(ctx, cluster, earlier)).To(Equal(1))
	}, SpecTimeout(2*waitTimeout))

	It("runs once though repeats race through all entries", func(ctx SpecContext) {
		var group sync.WaitGroup
		answers := make([]orderAnswer, 30)
		for number := range answers {
			group.Go(func() {
				defer GinkgoRecover()
				answers[number] = placeOrder(ctx, url(number%3), "race", body)
			})
		}
		group.Wait()
		Expect(executionsSince(ctx, cluster, earlier)).To(Equal(1), "%v", answers)
	}, SpecTimeout(2*waitTimeout))

	It("is refused where its key was used for another body", func(ctx SpecContext) {
		Expect(placeOrder(ctx, url(0), "reused", body).status).To(Equal(http.StatusOK))
		other := placeOrder(ctx, url(1), "reused", `{"item":"nails","count":1}`)
		Expect(other.status).To(Equal(http.StatusConflict))
		Expect(other.outcome).To(Equal("notRun"))
		Expect(executionsSince(ctx, cluster, earlier)).To(Equal(1))
	}, SpecTimeout(2*waitTimeout))

	It("has an unknown outcome and is not tried again once its answer is lost", func(ctx SpecContext) {
		services(ctx, map[string]any{"dropAnswers": 1})
		for _, key := range []string{"", "lost"} {
			answer := placeOrder(ctx, url(0), key, body)
			Expect(answer.outcome).To(Equal("unknown"), key)
			services(ctx, map[string]any{"dropAnswers": 1})
		}
		services(ctx, map[string]any{"dropAnswers": 0})
		Expect(placeOrder(ctx, url(1), "lost", body).outcome).To(Equal("unknown"))
		Expect(executionsSince(ctx, cluster, earlier)).To(Equal(2))
	}, SpecTimeout(2*waitTimeout))

	It("is refused as not run while the platform's service is down, and runs after", func(ctx SpecContext) {
		for _, fault := range []string{"refuse", "hang"} {
			platform(ctx, map[string]any{fault: true})
			answer := placeOrder(ctx, url(0), fault, body)
			Expect(answer.status).To(Equal(http.StatusServiceUnavailable))
			Expect(answer.outcome).To(Equal("notRun"))
			Expect(executionsSince(ctx, cluster, earlier)).To(BeZero())
			platform(ctx, map[string]any{})
		}
		Eventually(func() int { return placeOrder(ctx, url(0), "after", body).status }).
			WithTimeout(waitTimeout).Should(Equal(http.StatusOK))
		Expect(executionsSince(ctx, cluster, earlier)).To(Equal(1))
	}, SpecTimeout(2*waitTimeout))

	It("runs once though the answer to each write of its claim is lost", func(ctx SpecContext) {
		platform(ctx, map[string]any{"loseShare": 0.5})
		for number := range 10 {
			placeOrder(ctx, url(number%3), fmt.Sprint("unsure-", number/2), body)
		}
		platform(ctx, map[string]any{})
		Expect(executionsSince(ctx, cluster, earlier)).To(BeNumerically("<=", 5))
		for name, count := range executions(ctx, cluster) {
			Expect(count).To(Equal(1), name)
		}
	}, SpecTimeout(2*waitTimeout))

	It("runs at most once though an entry freezes with it and wakes", func(ctx SpecContext) {
		services(ctx, map[string]any{"delayMs": 200})
		DeferCleanup(func(ctx SpecContext) { services(ctx, map[string]any{"delayMs": 0}) })
		var group sync.WaitGroup
		group.Go(func() {
			defer GinkgoRecover()
			placeOrder(ctx, url(0), "frozen", body)
		})
		cluster.Entries()[0].Freeze()
		placeOrder(ctx, url(1), "frozen", body)
		cluster.Entries()[0].Thaw()
		group.Wait()
		placeOrder(ctx, url(2), "frozen", body)
		Expect(executionsSince(ctx, cluster, earlier)).To(BeNumerically("<=", 1))
	}, SpecTimeout(2*waitTimeout))

	It("runs at most once though its entry or agent is killed in the middle", func(ctx SpecContext) {
		services(ctx, map[string]any{"delayMs": 300})
		for number, victim := range []func(){cluster.Entries()[0].Kill, cluster.Agents()[0].Kill, cluster.Agents()[1].Kill} {
			key := fmt.Sprint("killed-", number)
			var group sync.WaitGroup
			group.Go(func() {
				defer GinkgoRecover()
				placeOrder(ctx, url(min(number, 1)), key, body)
			})
			group.Go(victim)
			group.Wait()
			answer := placeOrder(ctx, url(2), key, body)
			ran := executionsSince(ctx, cluster, earlier)
			Expect(ran).To(BeNumerically("<=", number+1))
			if answer.outcome == "notRun" && answer.status != http.StatusConflict {
				Expect(ran).To(BeNumerically("<=", number))
			}
		}
		for name, count := range executions(ctx, cluster) {
			Expect(count).To(Equal(1), name)
		}
	}, SpecTimeout(2*waitTimeout))
})
