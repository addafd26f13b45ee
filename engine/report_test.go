package engine_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/engine"
)

// TestReportsThatStateNothingAreNotBelieved checks reports that would read as those of an
// engine that has restarted and holds nothing.
func TestReportsThatStateNothingAreNotBelieved(t *testing.T) {
	for _, body := range []string{"", "null", "{}", `{"boot":"b"}`, `{"resident":[]}`, `{"boot":"b","resident":null}`} {
		t.Run(body, func(t *testing.T) {
			g := NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				_, _ = writer.Write([]byte(body))
			}))
			defer server.Close()
			client := engine.NewHTTPEngine(engine.HTTPEngineConfig{URL: server.URL})
			defer client.Close()
			_, err := client.Report(context.Background())
			var codecError *engine.CodecError
			g.Expect(errors.As(err, &codecError)).To(BeTrue(), "%v", err)
		})
	}
}
