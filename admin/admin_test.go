package admin_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/admin"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/ident"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/proof"
	"github.com/basilkeel/basilkeel/spread"
)

func TestMain(m *testing.M) { os.Exit(proof.Main(m)) }

func TestAdmin(t *testing.T) {
	RegisterFailHandler(Fail)
	proof.Suite(t, "admin")
}

// publisher simulates a fleet of three instances. A test can partition this
// instance from the other two.
type publisher struct {
	snapshot    *config.Snapshot
	partitioned bool
}

func (publisher *publisher) Current() *config.Snapshot { return publisher.snapshot }

func (publisher *publisher) Adopt(bundle *config.Bundle) error {
	snapshot, err := bundle.Snapshot()
	publisher.snapshot = snapshot
	return err
}

func (publisher *publisher) Publish(context.Context, config.Version) bool {
	return !publisher.partitioned
}

func (publisher *publisher) Rollout(_ context.Context, version config.Version) spread.Rollout {
	if publisher.partitioned {
		return spread.Rollout{Version: version, Instances: 1, Live: 3}
	}
	return spread.Rollout{Version: version, Instances: 3, Live: 3}
}

var hasher = ident.NewHasher([]byte("pepper"))

// fixture is an API server with an in-memory store and one operator per role.
type fixture struct {
	memory    *proof.Store
	publisher *publisher
	http      *httptest.Server
}

func newFixture() *fixture {
	fixture := &fixture{memory: proof.NewStore(), publisher: &publisher{}}
	timers := clock.NewService(clock.ServiceConfig{})
	logger := logrus.New()
	logger.SetOutput(GinkgoWriter)
	var operators []admin.Operator
	for _, role := range []string{"viewer", "editor", "owner"} {
		operator, err := admin.ParseOperator(fmt.Sprintf("the-%s:%s:%s", role, role, hasher.Hash("token-"+role)))
		Expect(err).NotTo(HaveOccurred())
		operators = append(operators, operator)
	}
	fixture.http = httptest.NewServer(admin.NewServer(admin.ServerConfig{
		Repository: config.NewRepository(config.RepositoryConfig{Store: fixture.memory, Clock: timers}),
		Publisher:  fixture.publisher, Operators: operators, Hasher: hasher, Clock: timers, Logger: logger,
	}))
	return fixture
}

func (fixture *fixture) client(role string) *admin.Client {
	return admin.NewClient(admin.ClientConfig{URL: fixture.http.URL, Token: "token-" + role, HTTP: fixture.http.Client()})
}

func putAccount(id string, expected config.Version, name string) config.Change {
	account := config.NewClientAccount(config.ClientAccountConfig{Name: names.ClientAccount(name), Weight: 1})
	return config.Change{ID: config.ChangeID(id), Expected: expected, Edits: []config.Edit{config.PutAccount{Account: account}}}
}

func status(err error) int {
	var apiError *admin.APIError
	if errors.As(err, &apiError) {
		return apiError.Status
	}
	return 0
}

var _ = Describe("administration", func() {
	ctx := context.Background()
	var current *fixture
	BeforeEach(func() {
		current = newFixture()
		DeferCleanup(current.http.Close)
	})

	It("changes, shows and lists under the operator's own name", func() {
		editor := current.client("editor")
		change := putAccount("c1", 0, "desk")
		change.Operator = "somebody-else"
		differences, err := editor.DryRun(ctx, change)
		Expect(err).NotTo(HaveOccurred())
		Expect(differences).To(HaveExactElements(HaveField("Path", "accounts/desk")))
		Expect(current.memory.Entries()).To(BeEmpty())

		outcome, err := editor.Apply(ctx, change)
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome.Announced).To(BeTrue())
		Expect(outcome.Rollout).To(Equal(spread.Rollout{Version: 1, Instances: 3, Live: 3}))
		Expect(outcome.Record.Operator).To(Equal("the-editor"))

		snapshot, err := editor.Show(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(snapshot.Accounts()).To(HaveLen(1))
		records, err := editor.History(ctx, 0, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(records).To(HaveExactElements(HaveField("ChangeID", BeEquivalentTo("c1"))))
		Expect(editor.Rollout(ctx, 1)).To(HaveField("Live", 3))
	})

	It("goes by the stored configuration while none is in force here", func() {
		editor := current.client("editor")
		_, err := editor.Apply(ctx, putAccount("c1", 0, "desk"))
		Expect(err).NotTo(HaveOccurred())
		_, _, err = editor.IssueKey(ctx, "c2", 1, "desk/1", "desk")
		Expect(err).NotTo(HaveOccurred())
		current.publisher.snapshot = nil
		_, _, err = editor.IssueKey(ctx, "c3", 2, "desk/1", "desk")
		Expect(err).To(MatchError(ContainSubstring("exists already")))
		put := config.PutSigningKey{SigningKey: config.NewSigningKey(config.SigningKeyConfig{
			ID: "s1", SignFrom: time.Now().Add(time.Hour), VerifyUntil: time.Now().Add(2 * time.Hour),
		})}
		_, err = current.client("owner").Apply(ctx, config.Change{ID: "c4", Expected: 2, Edits: []config.Edit{put}})
		Expect(err).NotTo(HaveOccurred())
		current.publisher.snapshot = nil
		_, err = current.client("owner").Apply(ctx, config.Change{ID: "c5", Expected: 3, Edits: []config.Edit{config.RemoveSigningKey{ID: "s1"}}})
		Expect(err).To(MatchError(ContainSubstring("still in use")))
		snapshot, err := editor.Show(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(snapshot.Accounts()).To(HaveLen(1))
		current.memory.SetDown(true)
		_, err = editor.Show(ctx)
		Expect(status(err)).To(Equal(http.StatusServiceUnavailable))
	})

	It("names the other change in a conflict, and every fault", func() {
		editor := current.client("editor")
		_, err := editor.Apply(ctx, putAccount("c1", 0, "desk"))
		Expect(err).NotTo(HaveOccurred())
		_, err = editor.Apply(ctx, putAccount("c2", 0, "other"))
		var conflictError *config.ConflictError
		Expect(errors.As(err, &conflictError)).To(BeTrue())
		Expect(*conflictError).To(Equal(config.ConflictError{Expected: 0, Current: 1, ChangeID: "c1", Operator: "the-editor"}))
		_, err = editor.Apply(ctx, putAccount("c3", 1, "no name"))
		var validationError *config.ValidationError
		Expect(errors.As(err, &validationError)).To(BeTrue())
	})

	It("requires the role that each request needs", func() {
		signingKey := config.PutSigningKey{SigningKey: config.NewSigningKey(config.SigningKeyConfig{
			ID: "s1", SignFrom: time.Now().Add(time.Hour), VerifyUntil: time.Now().Add(2 * time.Hour),
		})}
		cases := []struct {
			role   string
			change config.Change
			want   int
		}{
			{"nobody", putAccount("c0", 0, "a"), http.StatusUnauthorized},
			{"viewer", putAccount("c0", 0, "a"), http.StatusForbidden},
			{"editor", config.Change{ID: "c0", Edits: []config.Edit{signingKey}}, http.StatusForbidden},
			{"editor", putAccount("c0", 0, "a"), 0},
			{"owner", config.Change{ID: "c1", Expected: 1, Edits: []config.Edit{signingKey}}, 0},
		}
		for _, each := range cases {
			_, err := current.client(each.role).Apply(ctx, each.change)
			Expect(status(err)).To(Equal(each.want), "%s: %v", each.role, err)
		}
		_, err := current.client("nobody").Show(ctx)
		Expect(status(err)).To(Equal(http.StatusUnauthorized))
	})

	It("issues a key once and withdraws it although others change things", func() {
		editor := current.client("editor")
		_, err := editor.Apply(ctx, putAccount("c1", 0, "desk"))
		Expect(err).NotTo(HaveOccurred())
		_, secret, err := editor.IssueKey(ctx, "c2", 1, "desk/1", "desk")
		Expect(err).NotTo(HaveOccurred())
		key, ok := current.publisher.snapshot.KeyByHash(hasher.Hash(secret))
		Expect(ok).To(BeTrue())
		Expect(key.Account()).To(BeEquivalentTo("desk"))
		for _, entry := range current.memory.Entries() {
			Expect(string(entry.Value())).NotTo(ContainSubstring(secret))
		}
		_, _, err = editor.IssueKey(ctx, "c3", 2, "desk/1", "desk")
		Expect(err).To(MatchError(ContainSubstring("exists already")))

		races := 0
		current.memory.SetHook(func(operation, key string) {
			if operation == "swap" && key == config.RootKey && races < 3 {
				races++
				current.memory.SetHook(nil)
				_, err := editor.Apply(ctx, putAccount(fmt.Sprint("race", races), 2, "other"))
				Expect(err).NotTo(HaveOccurred())
			}
		})
		outcome, err := editor.WithdrawKey(ctx, "c4", "desk/1")
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome.Record.Version).To(BeEquivalentTo(4))
		key, _ = current.publisher.snapshot.KeyByHash(hasher.Hash(secret))
		Expect(key.Withdrawn()).To(BeTrue())
		again, err := editor.WithdrawKey(ctx, "c4", "desk/1")
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Record.Version).To(BeEquivalentTo(4))
	})

	It("distinguishes unknown, unavailable and not announced changes", func() {
		editor := current.client("editor")
		current.memory.SetDown(true)
		_, err := editor.Apply(ctx, putAccount("c1", 0, "desk"))
		var apiError *admin.APIError
		Expect(errors.As(err, &apiError)).To(BeTrue())
		Expect(apiError.Code).To(Equal("unavailable"))
		current.memory.SetDown(false)

		current.memory.DropWrites(100)
		_, err = editor.Apply(ctx, putAccount("c1", 0, "desk"))
		Expect(errors.As(err, &apiError)).To(BeTrue())
		Expect(apiError.MayTakeEffect()).To(BeTrue())
		current.memory.DropWrites(0)

		current.publisher.partitioned = true
		outcome, err := editor.Apply(ctx, putAccount("c1", 0, "desk"))
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome.Announced).To(BeFalse())
		current.publisher.partitioned = false
		outcome, err = editor.Apply(ctx, putAccount("c1", 0, "desk"))
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome.Announced).To(BeTrue())
		Expect(outcome.Record.Version).To(BeEquivalentTo(1))
	})

	It("refuses changes of signing keys that would cost requests", func() {
		owner := current.client("owner")
		put := func(id string, expected config.Version, from time.Duration) error {
			signingKey := config.NewSigningKey(config.SigningKeyConfig{
				ID: id, SignFrom: time.Now().Add(from), VerifyUntil: time.Now().Add(from + time.Hour),
			})
			_, err := owner.Apply(ctx, config.Change{ID: config.ChangeID(id), Expected: expected, Edits: []config.Edit{config.PutSigningKey{SigningKey: signingKey}}})
			return err
		}
		Expect(put("s1", 0, time.Second)).To(MatchError(ContainSubstring("learn of the key first")))
		Expect(put("s1", 0, time.Hour)).To(Succeed())
		_, err := owner.Apply(ctx, config.Change{ID: "r", Expected: 1, Edits: []config.Edit{config.RemoveSigningKey{ID: "s1"}}})
		Expect(err).To(MatchError(ContainSubstring("still in use")))
	})

	It("bounds and checks what it reads", func() {
		large := `{"changeId":"` + strings.Repeat("x", admin.MaxBodyBytes) + `"}`
		cases := []struct {
			path, media, body string
			want              int
		}{
			{"/admin/v1/changes", "text/plain", "{}", http.StatusUnsupportedMediaType},
			{"/admin/v1/changes", "application/json", large, http.StatusRequestEntityTooLarge},
			{"/admin/v1/changes", "application/json", "{", http.StatusBadRequest},
			{"/admin/v1/changes", "application/json", `{"unknown":1}`, http.StatusBadRequest},
			{"/admin/v1/changes", "application/json", `{"edits":[{"operation":"putKey"}]}`, http.StatusUnprocessableEntity},
			{"/admin/v1/nothing", "application/json", "{}", http.StatusNotFound},
			{"/admin/v1/standing", "application/json", "{}", http.StatusMethodNotAllowed},
		}
		for _, each := range cases {
			request, err := http.NewRequest(http.MethodPost, current.http.URL+each.path, strings.NewReader(each.body))
			Expect(err).NotTo(HaveOccurred())
			request.Header.Set("Authorization", "Bearer token-owner")
			request.Header.Set("Content-Type", each.media)
			response, err := current.http.Client().Do(request)
			Expect(err).NotTo(HaveOccurred())
			response.Body.Close()
			Expect(response.StatusCode).To(Equal(each.want), "%s %.40s", each.path, each.body)
		}
	})
})
