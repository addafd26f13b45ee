package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"
)

// TestListWithoutInstancesFieldIsNoEmptyList checks that only a list that says so is empty.
func TestListWithoutInstancesFieldIsNoEmptyList(t *testing.T) {
	for _, each := range []struct {
		body  string
		valid bool
	}{
		{body: ""},
		{body: "null"},
		{body: "{}"},
		{body: `{"revision":4}`},
		{body: `{"revision":4,"instances":null}`},
		{body: `{"instances":[`},
		{body: `{"revision":4,"instances":[]}`, valid: true},
	} {
		t.Run(each.body, func(t *testing.T) {
			g := NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				_, _ = writer.Write([]byte(each.body))
			}))
			defer server.Close()
			lister := newLister(server.URL)
			defer lister.client.CloseIdleConnections()
			_, err := lister.read(context.Background())
			g.Expect(err == nil).To(Equal(each.valid), "%v", err)
		})
	}
}
