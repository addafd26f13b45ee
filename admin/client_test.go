package admin_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/admin"
)

var _ = Describe("a client", func() {
	calls := []struct {
		name string
		do   func(ctx context.Context, client *admin.Client) error
		// documents are bodies that tell nothing of what was asked for.
		documents []string
	}{
		{"apply", func(ctx context.Context, client *admin.Client) error {
			_, err := client.Apply(ctx, putAccount("c1", 0, "desk"))
			return err
		}, []string{"{}", `{"announced":true}`, `{"change":{"version":3}}`, `{"change":{"changeId":"c1"}}`}},
		{"dry run", func(ctx context.Context, client *admin.Client) error {
			_, err := client.DryRun(ctx, putAccount("c1", 0, "desk"))
			return err
		}, []string{"{}", `{"version":3}`}},
		{"show", func(ctx context.Context, client *admin.Client) error {
			_, err := client.Show(ctx)
			return err
		}, nil},
		{"history", func(ctx context.Context, client *admin.Client) error {
			_, err := client.History(ctx, 0, 10)
			return err
		}, []string{"{}", `{"changes":null}`}},
		{"issue", func(ctx context.Context, client *admin.Client) error {
			_, _, err := client.IssueKey(ctx, "c1", 0, "desk/1", "desk")
			return err
		}, []string{"{}", `{"change":{"changeId":"c1","version":3},"announced":true}`}},
		{"withdraw", func(ctx context.Context, client *admin.Client) error {
			_, err := client.WithdrawKey(ctx, "c1", "desk/1")
			return err
		}, []string{"{}", `{"announced":true}`}},
		{"quarantines", func(ctx context.Context, client *admin.Client) error {
			_, err := client.Quarantines(ctx)
			return err
		}, []string{"{}"}},
	}

	It("takes no response that tells nothing for a success", func(ctx SpecContext) {
		for _, call := range calls {
			for _, document := range append([]string{"", "null"}, call.documents...) {
				for _, status := range []int{http.StatusOK, http.StatusAccepted, http.StatusNoContent, http.StatusFound} {
					server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
						writer.WriteHeader(status)
						_, _ = writer.Write([]byte(document))
					}))
					client := admin.NewClient(admin.ClientConfig{URL: server.URL, Token: "t", HTTP: server.Client()})
					Expect(call.do(ctx, client)).NotTo(Succeed(), "%s: %d %s", call.name, status, document)
					server.Close()
				}
			}
		}
	})

	It("does not take a failure of something between for a refusal of the change", func(ctx SpecContext) {
		for _, document := range []string{"", "{}", "<html>Request Timeout</html>"} {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.WriteHeader(http.StatusRequestTimeout)
				_, _ = writer.Write([]byte(document))
			}))
			client := admin.NewClient(admin.ClientConfig{URL: server.URL, Token: "t", HTTP: server.Client()})
			_, err := client.Apply(ctx, putAccount("c1", 0, "desk"))
			var responseError *admin.ResponseError
			Expect(errors.As(err, &responseError)).To(BeTrue(), "%v", err)
			server.Close()
		}
	})
})
