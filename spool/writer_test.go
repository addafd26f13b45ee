package spool_test

import (
	"bytes"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/basilkeel/basilkeel/spool"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// blockedWriter is an output whose writes block until unblocked is closed.
type blockedWriter struct {
	unblocked chan struct{}
	mutex     sync.Mutex
	buffer    bytes.Buffer
}

// Write implements io.Writer.
func (blockedWriter *blockedWriter) Write(line []byte) (int, error) {
	<-blockedWriter.unblocked
	blockedWriter.mutex.Lock()
	defer blockedWriter.mutex.Unlock()
	return blockedWriter.buffer.Write(line)
}

func TestBlockedOutputDoesNotDelayWrites(t *testing.T) {
	g := NewWithT(t)
	out := &blockedWriter{unblocked: make(chan struct{})}
	writer := spool.NewWriter(out, 8)
	began := time.Now()
	for range 1000 {
		_, err := writer.Write([]byte("line\n"))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
	g.Expect(writer.Dropped()).To(BeNumerically(">=", 990))
	g.Expect(writer.Dropped()).To(BeZero())
	close(out.unblocked)
	writer.Close()
	g.Expect(bytes.Count(out.buffer.Bytes(), []byte("\n"))).To(BeNumerically(">=", 8))
}

func TestCloseWritesWhatIsBuffered(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	writer := spool.NewWriter(&out, 100)
	line := []byte("one\n")
	_, err := writer.Write(line)
	g.Expect(err).NotTo(HaveOccurred())
	copy(line, "two\n")
	writer.Close()
	g.Expect(out.String()).To(Equal("one\n"))
}

func BenchmarkWrite(b *testing.B) {
	writer := spool.NewWriter(&bytes.Buffer{}, spool.DefaultBufferLines)
	defer writer.Close()
	line := bytes.Repeat([]byte("x"), 400)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := writer.Write(line); err != nil {
			b.Fatal(err)
		}
	}
}
