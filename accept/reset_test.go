package accept

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// TestUnfinishedResponseToOldCallersIsReset checks that the server of callers' requests lets
// package reply reset a connection whose end would end the response.
func TestUnfinishedResponseToOldCallersIsReset(t *testing.T) {
	g := NewWithT(t)
	response, err := http.ReadResponse(sendTo(t, "GET / HTTP/1.0\r\n\r\n", func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(writer, "part")
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	}), nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	g.Expect(err).To(HaveOccurred(), "it must not look complete")
}
