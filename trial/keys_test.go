package trial_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/admin"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/subcmd"
	"github.com/basilkeel/basilkeel/trial"
)

const (
	// withdrawalBound and changeBound are the guarantees to operators: how soon a
	// withdrawn key is refused, and how soon a change applies at every entry.
	withdrawalBound = 5 * time.Second
	changeBound     = 12 * time.Second
	// longerThanFreshness exceeds the time for which an instance admits requests
	// without a proof that its configuration is fresh.
	longerThanFreshness = 7 * time.Second
	// withdrawalStreamPieces is long enough that the stream still runs when its key
	// is withdrawn.
	withdrawalStreamPieces = 1000
	ada                    = "ada"
	ben                    = "ben"
)

// sendWithSecret sends a request with an access key and returns the response and
// its status, or zero if the connection failed.
func sendWithSecret(ctx context.Context, client *http.Client, secret, method, url, body string) (*http.Response, int) {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, 0
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return nil, 0
	}
	return response, response.StatusCode
}

// modelsStatus lists the models, which requires only a valid key, and returns the
// status.
func modelsStatus(ctx context.Context, client *http.Client, secret, url string) int {
	return getStatus(ctx, client, secret, url+"/v1/models")
}

// getStatus sends a GET of url with a key and returns the status.
func getStatus(ctx context.Context, client *http.Client, secret, url string) int {
	response, status := sendWithSecret(ctx, client, secret, http.MethodGet, url, "")
	if response != nil {
		defer response.Body.Close()
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return 0
		}
	}
	return status
}

// accountChange returns a change that adds a client account.
func accountChange(id string, expected config.Version, name string) config.Change {
	account := config.NewClientAccount(config.ClientAccountConfig{Name: names.ClientAccount(name), Weight: 1})
	return config.Change{ID: config.ChangeID(id), Expected: expected, Edits: []config.Edit{config.PutAccount{Account: account}}}
}

var _ = Describe("administration of running entries", Ordered, func() {
	var cluster *trial.Cluster

	platform := func(ctx context.Context, faults map[string]any) {
		Expect(cluster.Post(ctx, cluster.ControlURL()+"/kv/faults", faults)).To(Succeed())
	}
	version := func(ctx context.Context, entry *trial.Entry) config.Version {
		snapshot, err := entry.Admin(ada).Show(ctx)
		Expect(err).NotTo(HaveOccurred())
		return snapshot.Version()
	}
	issue := func(ctx context.Context, name string) string {
		entry := cluster.Entries()[0]
		_, secret, err := entry.Admin(ada).IssueKey(ctx, config.ChangeID("issue-"+name), version(ctx, entry), names.Key(name), trial.Account)
		Expect(err).NotTo(HaveOccurred())
		for _, entry := range cluster.Entries() {
			Eventually(func() int { return modelsStatus(ctx, http.DefaultClient, secret, entry.URL) }).
				WithTimeout(changeBound).Should(Equal(http.StatusOK), entry.Name())
		}
		return secret
	}
	withdraw := func(ctx context.Context, name string) {
		_, err := cluster.Entries()[0].Admin(ada).WithdrawKey(ctx, config.ChangeID("withdraw-"+name), names.Key(name))
		Expect(err).NotTo(HaveOccurred())
	}

	BeforeAll(func(ctx SpecContext) {
		cluster = startCluster(ctx, trial.Config{
			Entries: 3, Engines: 1, PlainServices: 2,
			EngineArguments: []string{"--step", "40ms"}, EntryArguments: trial.OperatorArguments(ada, ben),
		})
	}, NodeTimeout(waitTimeout))

	// Each spec begins with a fleet in which every entry runs, is up to date and
	// reaches the store.
	BeforeEach(func(ctx SpecContext) {
		platform(ctx, map[string]any{})
		latest := version(ctx, cluster.Entries()[0])
		for _, entry := range cluster.Entries() {
			entry.Thaw()
			Eventually(func() int { return modelsStatus(ctx, http.DefaultClient, trial.Secret, entry.URL) }).
				WithTimeout(waitTimeout).Should(Equal(http.StatusOK), entry.Name())
			Eventually(func() config.Version { return version(ctx, entry) }).
				WithTimeout(waitTimeout).Should(BeNumerically(">=", latest), entry.Name())
			Eventually(func() error {
				_, err := entry.Admin(ada).History(ctx, 0, 1)
				return err
			}).WithTimeout(waitTimeout).Should(Succeed(), "%s reaches the store", entry.Name())
		}
	}, NodeTimeout(2*waitTimeout))

	for _, fault := range []string{"refuse", "hang"} {
		It("keeps admitting known keys while the store is down: "+fault, func(ctx SpecContext) {
			platform(ctx, map[string]any{fault: true})
			Consistently(func() []int {
				var statuses []int
				for _, entry := range cluster.Entries() {
					statuses = append(statuses, modelsStatus(ctx, http.DefaultClient, trial.Secret, entry.URL))
				}
				return statuses
			}).WithTimeout(longerThanFreshness).Should(HaveEach(http.StatusOK))
		}, SpecTimeout(2*waitTimeout))
	}

	It("has a withdrawn key refused on new requests, kept-alive connections and a running stream", func(ctx SpecContext) {
		secret := issue(ctx, "counter")
		kept := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
		DeferCleanup(kept.CloseIdleConnections)
		for _, entry := range cluster.Entries() {
			Expect(modelsStatus(ctx, kept, secret, entry.URL)).To(Equal(http.StatusOK))
		}
		body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, trial.Model, prompt, withdrawalStreamPieces)
		var response *http.Response
		// The fleet may still be recovering from the outage of an earlier spec.
		Eventually(func(g Gomega) {
			var status int
			response, status = sendWithSecret(ctx, http.DefaultClient, secret, http.MethodPost, cluster.Entries()[1].URL+textPath, body)
			if status != http.StatusOK && response != nil {
				defer response.Body.Close()
				refusal, err := io.ReadAll(response.Body)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(string(refusal)).To(BeEmpty())
			}
			g.Expect(status).To(Equal(http.StatusOK))
		}).WithTimeout(waitTimeout).Should(Succeed())
		running := &stream{response: response, prompt: prompt, tokens: withdrawalStreamPieces, lines: bufio.NewScanner(response.Body)}
		running.read(piecesBeforeFailure)
		withdraw(ctx, "counter")
		answered := time.Now()
		for _, entry := range cluster.Entries() {
			for _, client := range []*http.Client{http.DefaultClient, kept} {
				reused := false
				traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }})
				Eventually(func() int { return modelsStatus(traced, client, secret, entry.URL) }).
					WithTimeout(withdrawalBound-time.Since(answered)).Should(Equal(http.StatusUnauthorized), entry.Name())
				Expect(reused || client != kept).To(BeTrue(), "the connection was kept")
			}
		}
		running.read(0)
		Expect(time.Since(answered)).To(BeNumerically("<", withdrawalBound))
		Expect(running.done).To(BeFalse())
		Expect(running.failure).To(ContainSubstring("the key was withdrawn"))
	}, SpecTimeout(2*waitTimeout))

	It("has a withdrawn key refused by entries that slept through it while the store is down", func(ctx SpecContext) {
		secret := issue(ctx, "sleeper")
		sleepers := cluster.Entries()[1:]
		for _, entry := range sleepers {
			entry.Freeze()
		}
		withdraw(ctx, "sleeper")
		platform(ctx, map[string]any{"refuse": true})
		answered := time.Now()
		for _, entry := range sleepers {
			entry.Thaw()
		}
		for _, entry := range cluster.Entries() {
			Eventually(func() int { return modelsStatus(ctx, http.DefaultClient, secret, entry.URL) }).
				WithTimeout(withdrawalBound-time.Since(answered)).ShouldNot(Equal(http.StatusOK), entry.Name())
			Eventually(func() int { return modelsStatus(ctx, http.DefaultClient, secret, entry.URL) }).
				WithTimeout(waitTimeout).Should(Equal(http.StatusUnauthorized), entry.Name())
			Eventually(func() int { return modelsStatus(ctx, http.DefaultClient, trial.Secret, entry.URL) }).
				WithTimeout(waitTimeout).Should(Equal(http.StatusOK), entry.Name())
		}
	}, SpecTimeout(3*waitTimeout))

	It("refuses all keys at an entry that is apart from the store and from other failure domains", func(ctx SpecContext) {
		platform(ctx, map[string]any{"hang": true})
		for _, entry := range cluster.Entries()[1:] {
			entry.Freeze()
		}
		for _, agent := range cluster.Agents() {
			if agent.Instance.FailureDomain != trial.Domains()[0] {
				agent.Freeze()
				DeferCleanup(agent.Thaw)
			}
		}
		Eventually(func() int { return modelsStatus(ctx, http.DefaultClient, trial.Secret, cluster.Entries()[0].URL) }).
			WithTimeout(waitTimeout).Should(Equal(http.StatusServiceUnavailable))
	}, SpecTimeout(2*waitTimeout))

	It("gives one of two operators who race a conflict that names the other", func(ctx SpecContext) {
		expected := version(ctx, cluster.Entries()[0])
		operators := []string{ada, ben}
		errs := make([]error, len(operators))
		var group sync.WaitGroup
		for number, operator := range operators {
			group.Go(func() {
				_, errs[number] = cluster.Entries()[number].Admin(operator).Apply(ctx, accountChange("race-"+operator, expected, "desk-"+operator))
			})
		}
		group.Wait()
		loser := 0
		if errs[0] == nil {
			loser = 1
		}
		Expect(errs[1-loser]).NotTo(HaveOccurred())
		var conflictError *config.ConflictError
		Expect(errors.As(errs[loser], &conflictError)).To(BeTrue(), "%v", errs[loser])
		winner := operators[1-loser]
		Expect(conflictError.Operator).To(Equal(winner))
		Expect(conflictError.ChangeID).To(Equal(config.ChangeID("race-" + winner)))
	}, SpecTimeout(waitTimeout))

	It("records a change once though the store's answers are lost", func(ctx SpecContext) {
		expected := version(ctx, cluster.Entries()[0])
		change := accountChange("lost", expected, "desk-lost")
		platform(ctx, map[string]any{"loseShare": 1})
		_, err := cluster.Entries()[0].Admin(ada).Apply(ctx, change)
		var apiError *admin.APIError
		Expect(err == nil || (errors.As(err, &apiError) && apiError.MayTakeEffect())).To(BeTrue(), "%v", err)
		platform(ctx, map[string]any{})
		outcome, err := cluster.Entries()[1].Admin(ada).Apply(ctx, change)
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome.Record.Version).To(Equal(expected + 1))
		records, err := cluster.Entries()[2].Admin(ada).History(ctx, 0, 100)
		Expect(err).NotTo(HaveOccurred())
		var versions []config.Version
		for _, record := range records {
			if record.ChangeID == change.ID {
				versions = append(versions, record.Version)
			}
		}
		Expect(versions).To(Equal([]config.Version{expected + 1}))
	}, SpecTimeout(waitTimeout))

	It("starts an entry while the store is down, with the configuration of its peers", func(ctx SpecContext) {
		secret := issue(ctx, "starter")
		platform(ctx, map[string]any{"refuse": true})
		fresh := cluster.Entries()[2]
		fresh.Kill()
		Expect(fresh.Start()).To(Succeed())
		Eventually(func() int { return modelsStatus(ctx, http.DefaultClient, secret, fresh.URL) }).
			WithTimeout(waitTimeout).Should(Equal(http.StatusOK))
	}, SpecTimeout(2*waitTimeout))

	It("never goes back to a lower version, through changes, kills, restarts and an outage", func(ctx SpecContext) {
		stop := make(chan struct{})
		var polling sync.WaitGroup
		for _, entry := range cluster.Entries() {
			polling.Go(func() {
				defer GinkgoRecover()
				highest := config.Version(0)
				for {
					select {
					case <-stop:
						return
					default:
					}
					// A starting entry has no version yet, and a killed one doesn't answer.
					snapshot, err := entry.Admin(ben).Show(ctx)
					if err != nil || snapshot.Version() == 0 {
						continue
					}
					Expect(snapshot.Version()).To(BeNumerically(">=", highest), entry.Name())
					highest = snapshot.Version()
				}
			})
		}
		first := cluster.Entries()[0]
		var writing sync.WaitGroup
		for writer := range 4 {
			writing.Go(func() {
				defer GinkgoRecover()
				for number := range 10 {
					id := fmt.Sprintf("rise-%d-%d", writer, number)
					// Attempts fail when writers conflict or the store is down.
					Eventually(func() error {
						_, err := first.Admin(ada).Apply(ctx, accountChange(id, version(ctx, first), id))
						return err
					}).WithTimeout(waitTimeout).Should(Succeed())
				}
			})
		}
		for round, restarted := range cluster.Entries()[1:] {
			restarted.Kill()
			platform(ctx, map[string]any{"refuse": round == 1})
			Expect(restarted.Start()).To(Succeed())
			Eventually(func() int { return modelsStatus(ctx, http.DefaultClient, trial.Secret, restarted.URL) }).
				WithTimeout(waitTimeout).Should(Equal(http.StatusOK))
			platform(ctx, map[string]any{})
		}
		writing.Wait()
		latest := version(ctx, first)
		for _, entry := range cluster.Entries() {
			Eventually(func() config.Version { return version(ctx, entry) }).WithTimeout(changeBound).Should(Equal(latest), entry.Name())
		}
		close(stop)
		polling.Wait()
	}, SpecTimeout(3*waitTimeout))

	It("is done by the command line, at the next entry where one is down", func(ctx SpecContext) {
		entry := cluster.Entries()[1]
		run := func(arguments ...string) (string, int) {
			command := exec.CommandContext(ctx, filepath.Join(programs, "basilkeel"), append([]string{"admin"}, arguments...)...)
			command.Env = append(os.Environ(), "BASILKEEL_ENTRIES=http://127.0.0.1:1,"+entry.OperatorURL, "BASILKEEL_TOKEN="+trial.OperatorToken(ben))
			output, err := command.CombinedOutput()
			var exit *exec.ExitError
			if err != nil && !errors.As(err, &exit) {
				Expect(err).NotTo(HaveOccurred())
			}
			return string(output), command.ProcessState.ExitCode()
		}
		file := filepath.Join(GinkgoT().TempDir(), "change.json")
		change := accountChange("by-command", version(ctx, entry), "desk-command")
		Expect(os.WriteFile(file, config.EncodeChange(change), 0o600)).To(Succeed())

		for _, step := range []struct {
			arguments []string
			code      int
			says      string
		}{
			{[]string{"dry-run", "--file", file}, 0, "+ accounts/desk-command"},
			{[]string{"apply", "--file", file}, 0, "operator=ben"},
			{[]string{"apply", "--file", file}, 0, "operator=ben"},
			{[]string{"apply", "--file", file, "--change-id", "other"}, subcmd.ExitConflict, `change "by-command" of operator "ben"`},
			{[]string{"history"}, 0, " ben by-command edits=1"},
			{[]string{"audit", "--operator", ben}, 0, "desk-command"},
			{[]string{"show"}, 0, "desk-command"},
			{[]string{"key", "issue", "--name", "by-command", "--account", trial.Account}, 0, "secret=bk_"},
			{[]string{"key", "withdraw", "--name", "by-command"}, 0, "operator=ben"},
			{[]string{"status"}, 0, " of="},
			{[]string{"quarantine", "list"}, subcmd.ExitFailure, "127.0.0.1:1"},
		} {
			output, code := run(step.arguments...)
			Expect(code).To(Equal(step.code), "%v: %s", step.arguments, output)
			Expect(output).To(ContainSubstring(step.says), "%v", step.arguments)
		}
	}, SpecTimeout(waitTimeout))
})
