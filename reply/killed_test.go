package reply_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/reply"
)

// killedServerVariable makes this test binary serve responses that don't end.
const killedServerVariable = "BASILKEEL_REPLY_KILLED_SERVER"

// serveUntilKilled prints its address and serves responses that don't end.
func serveUntilKilled() {
	server := httptest.NewUnstartedServer(reply.Guard(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = fmt.Fprint(writer, "part")
		_ = http.NewResponseController(writer).Flush()
		<-request.Context().Done()
	}), func(any, []byte) {}))
	server.Config.ConnContext = reply.ConnContext
	server.Start()
	defer server.Close()
	fmt.Println(server.Listener.Addr())
	time.Sleep(20 * time.Second)
}

// TestResponseOfAKilledProcessDoesNotLookComplete checks what a caller reads when the process
// is killed in the middle of a response.
func TestResponseOfAKilledProcessDoesNotLookComplete(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		t.Run(version, func(t *testing.T) {
			g := NewWithT(t)
			command := exec.CommandContext(t.Context(), os.Args[0])
			command.Env = append(os.Environ(), killedServerVariable+"=1")
			output, err := command.StdoutPipe()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(command.Start()).To(Succeed())
			defer func() { _ = command.Wait() }()
			defer func() { _ = command.Process.Kill() }()
			line, err := bufio.NewReader(output).ReadString('\n')
			g.Expect(err).NotTo(HaveOccurred())
			conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", strings.TrimSpace(line))
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "GET / %s\r\nHost: a\r\n\r\n", version)
			g.Expect(err).NotTo(HaveOccurred())
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			part := make([]byte, len("part"))
			_, err = io.ReadFull(response.Body, part)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(command.Process.Kill()).To(Succeed())
			_, err = io.ReadAll(response.Body)
			g.Expect(err).To(HaveOccurred(), "it must not look complete")
		})
	}
}
