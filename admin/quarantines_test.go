package admin_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/admin"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/poison"
)

// quarantineMap implements admin.Quarantines with a map.
type quarantineMap map[poison.Fingerprint]time.Time

// Quarantines implements admin.Quarantines.
func (quarantineMap quarantineMap) Quarantines() map[poison.Fingerprint]time.Time {
	return quarantineMap
}

// Lift implements admin.Quarantines.
func (quarantineMap quarantineMap) Lift(fingerprint poison.Fingerprint) {
	delete(quarantineMap, fingerprint)
}

var _ = Describe("quarantines", func() {
	ctx := context.Background()
	until := time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)
	fingerprint := poison.NewFingerprint("desk", "notes-7b", []byte("body"))

	It("are listed by viewers, and lifted once and by editors alone", func() {
		var operators []admin.Operator
		for _, role := range []string{"viewer", "editor"} {
			operator, err := admin.ParseOperator(role + ":" + role + ":" + hasher.Hash("token-"+role))
			Expect(err).NotTo(HaveOccurred())
			operators = append(operators, operator)
		}
		logger := logrus.New()
		logger.SetOutput(GinkgoWriter)
		server := httptest.NewServer(admin.NewServer(admin.ServerConfig{
			Quarantines: quarantineMap{fingerprint: until}, Operators: operators, Hasher: hasher,
			Clock: clock.NewService(clock.ServiceConfig{}), Logger: logger,
		}))
		DeferCleanup(server.Close)
		client := func(role string) *admin.Client {
			return admin.NewClient(admin.ClientConfig{URL: server.URL, Token: "token-" + role, HTTP: server.Client()})
		}
		Expect(client("viewer").Quarantines(ctx)).To(Equal([]admin.Quarantine{{Fingerprint: fingerprint.String(), Until: until}}))
		Expect(status(client("nobody").LiftQuarantine(ctx, fingerprint))).To(Equal(http.StatusUnauthorized))
		Expect(status(client("viewer").LiftQuarantine(ctx, fingerprint))).To(Equal(http.StatusForbidden))
		Expect(client("viewer").Quarantines(ctx)).To(HaveLen(1))
		Expect(client("editor").LiftQuarantine(ctx, fingerprint)).To(Succeed())
		Expect(client("viewer").Quarantines(ctx)).To(BeEmpty())
		Expect(status(client("editor").LiftQuarantine(ctx, fingerprint))).To(Equal(http.StatusNotFound))
	})
})
