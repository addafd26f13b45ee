package relay_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/crash"
	"github.com/basilkeel/basilkeel/ident"
	"github.com/basilkeel/basilkeel/memory"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/platform"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/relay"
	"github.com/basilkeel/basilkeel/reply"
	"github.com/basilkeel/basilkeel/share"
	"github.com/basilkeel/basilkeel/trunk"
)

const (
	benchmarkBody   = 400
	benchmarkAnswer = 900
	benchmarkEvents = 20
	// benchmarkPause is the time between two paced requests. Timers that fire for each request
	// cost processor time only between requests.
	benchmarkPause = 5 * time.Millisecond
)

// BenchmarkRequest measures whole requests over loopback, with the codec, the log format and
// the memory budget of an entry. Its caller and its server write prepared bytes, so that most
// of the time is the relay's. The unit cpu-ns/op is the processor time of the process.
func BenchmarkRequest(b *testing.B) {
	answer := benchmarkHeader("application/json", fmt.Sprintf("Content-Length: %d", benchmarkAnswer)) + strings.Repeat("a", benchmarkAnswer)
	whole := func(connection net.Conn, _ <-chan struct{}) error {
		_, err := io.WriteString(connection, answer)
		return err
	}
	for _, size := range []int{26, 117, 700} {
		b.Run(fmt.Sprintf("whole-%d", size), func(b *testing.B) { benchmarkRequest(b, size, "plain", 0, whole) })
	}
	b.Run("paced-26", func(b *testing.B) { benchmarkRequest(b, 26, "plain", benchmarkPause, whole) })
	b.Run("stream-26", func(b *testing.B) { benchmarkRequest(b, 26, "stream", 0, writeBenchmarkStream) })
}

// benchmarkHeader returns the header of a server's response.
func benchmarkHeader(mediaType, framing string) string {
	return "HTTP/1.1 200 OK\r\nContent-Type: " + mediaType + "\r\nX-Attempt-Id: a-1\r\nX-Server-Stamp: s-1\r\nX-Instance-Load: 3,0,16\r\n" + framing + "\r\n\r\n"
}

// writeBenchmarkStream writes a stream, each event after the caller has received the last one.
func writeBenchmarkStream(connection net.Conn, received <-chan struct{}) error {
	if _, err := io.WriteString(connection, benchmarkHeader("text/event-stream", "Transfer-Encoding: chunked")); err != nil {
		return err
	}
	for number := range benchmarkEvents {
		event := fmt.Sprintf("id: %d\ndata: {\"text\":\"some words of an answer\"}\n\n", number+1)
		if _, err := fmt.Fprintf(connection, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
		<-received
	}
	_, err := io.WriteString(connection, "0\r\n\r\n")
	return err
}

// benchmarkRequest sends requests to the path of a route one after another. The servers respond
// with respond, which may wait for the chunks that the caller has received.
func benchmarkRequest(b *testing.B, servers int, path string, pause time.Duration, respond func(net.Conn, <-chan struct{}) error) {
	received := make(chan struct{}, 1)
	backend := listenLoopback(b)
	serveRaw(backend, func(connection net.Conn, reader *bufio.Reader) error {
		if _, err := readRaw(reader, nil); err != nil {
			return err
		}
		return respond(connection, received)
	})
	front := listenLoopback(b)
	server := &http.Server{Handler: newBenchmarkRelay(servers, backend.Addr().String()), ConnContext: reply.ConnContext, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(front) }()
	b.Cleanup(func() { _ = server.Close() })
	connection, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", front.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = connection.Close() })
	request := []byte("POST /" + path + "/items?page=3 HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer secret\r\nX-Attempt-Id: a-1\r\n" +
		"X-Deadline-Ms: 2000\r\nX-Token-Count: 120,40\r\nContent-Type: application/json\r\nAccept: */*\r\nUser-Agent: caller/1.0\r\n" +
		fmt.Sprintf("Content-Length: %d\r\n\r\n", benchmarkBody) + strings.Repeat("b", benchmarkBody))
	reader := bufio.NewReader(connection)
	exchange := func() {
		if _, err := connection.Write(request); err != nil {
			b.Fatal(err)
		}
		status, err := readRaw(reader, received)
		if err != nil || !strings.Contains(status, " 200 ") {
			b.Fatal(status, err)
		}
	}
	exchange()
	b.ReportAllocs()
	before := processorTime(b)
	for b.Loop() {
		exchange()
		if pause > 0 {
			time.Sleep(pause)
		}
	}
	b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
}

// newBenchmarkRelay returns a relay with servers at one address.
func newBenchmarkRelay(count int, address string) *relay.Relay {
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	logger.SetOutput(io.Discard)
	logger.AddHook(ident.Redactor{})
	clockService := clock.NewService(clock.ServiceConfig{})
	servers := pool.New(pool.Config{RegistryPeriod: time.Second, Random: rand.Float64})
	for index := range count {
		service := names.Service("desk")
		if index%2 == 1 {
			service = "notes"
		}
		servers.Put(&pool.Server{
			ID: names.BackendServer(fmt.Sprintf("server-%03d", index)), Service: service, Address: address, Incarnation: 1, Slots: 16,
			Domain: names.FailureDomain([]string{"a", "b", "c"}[index%3]), Models: []names.Model{"notes"},
		})
	}
	handler := relay.New(relay.Config{
		Codec: platform.HeaderCodec{}, Pool: servers, Trunk: trunk.New(trunk.Config{Clock: clockService}), Limiter: share.NewLimiter(),
		Coordinator: &fakeCoordinator{pool: servers}, Crashes: crash.NewTracker(), Clock: clockService, Log: logger.WithField("instance", "entry-1"),
		Metrics: metrics.NewRegistry(), Domain: "a", RetryRatio: 0.2, RetrySlack: 240, RetryWindow: 10 * time.Second, CrashConfirmDelay: 1500 * time.Millisecond,
		Memory: memory.NewBudget(100 << 20),
	})
	stream := route("stream", policy.KindStream, "desk")
	stream.Resumable = true
	handler.SetPolicy(policy.NewSnapshot(policy.SnapshotConfig{
		Version: 3, Routes: []*policy.Route{route("plain", policy.KindUnsafe, "desk"), stream}, Limits: policy.Limits{BodyBytes: 1000},
		Services: []*policy.Service{{Name: "desk"}}, Accounts: []*policy.Account{{Name: "crew", Keys: []string{"secret"}}},
	}))
	return handler
}

// processorTime returns the processor time that the process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func listenLoopback(b *testing.B) net.Listener {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	return listener
}

// serveRaw calls serve for each request on each connection until it fails.
func serveRaw(listener net.Listener, serve func(net.Conn, *bufio.Reader) error) {
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				reader := bufio.NewReader(connection)
				for serve(connection, reader) == nil {
				}
			}()
		}
	}()
}

var errNoFraming = errors.New("message has neither a length nor chunks")

// readRaw reads one message and returns its first line. It sends to received after each chunk.
func readRaw(reader *bufio.Reader, received chan<- struct{}) (string, error) {
	first, length, chunked := "", -1, false
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return "", err
		}
		if first == "" {
			first = string(line)
		}
		if len(line) == 2 {
			break
		}
		if value, found := bytes.CutPrefix(line, []byte("Content-Length: ")); found {
			if length, err = strconv.Atoi(string(bytes.TrimSpace(value))); err != nil {
				return "", err
			}
		}
		chunked = chunked || bytes.HasPrefix(line, []byte("Transfer-Encoding: chunked"))
	}
	if !chunked && length < 0 {
		return "", errNoFraming
	}
	if !chunked {
		_, err := reader.Discard(length)
		return first, err
	}
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return "", err
		}
		size, err := strconv.ParseInt(string(bytes.TrimSpace(line)), 16, 64)
		if err != nil {
			return "", err
		}
		if _, err := reader.Discard(int(size) + 2); err != nil || size == 0 {
			return first, err
		}
		received <- struct{}{}
	}
}
