package poison_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/poison"
	"github.com/basilkeel/basilkeel/wire"
)

// crowded returns a book with crashes of batches of size running.
func crowded(crashes, running int) *poison.Book {
	book := poison.NewBook(poison.Config{})
	for i := range crashes {
		crash := poison.Crash{
			ID: poison.CrashID{Server: names.BackendServer(fmt.Sprintf("server-%03d", i)), Boot: "boot-1#1"},
			At: start.Add(time.Duration(i) * time.Minute / 10),
		}
		for j := range running {
			crash.Running = append(crash.Running, fingerprint(i*running+j))
		}
		book.Crashed(crash.At, crash)
	}
	return book
}

func TestExchangeRoundTrip(t *testing.T) {
	g := NewWithT(t)
	book := crowded(3, 4)
	book.Completed(start, fingerprint(2))
	decoded, err := poison.DecodeSnapshot(poison.EncodeSnapshot(book.Exchange()))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded).To(Equal(book.Exchange()))
}

func FuzzDecodeExchange(f *testing.F) {
	data, err := proto.Marshal(poison.EncodeSnapshot(crowded(2, 3).Exchange()))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var message wire.PoisonExchange
		if proto.Unmarshal(data, &message) != nil {
			return
		}
		snapshot, err := poison.DecodeSnapshot(&message)
		if err != nil {
			return
		}
		book := poison.NewBook(poison.Config{})
		book.Merge(start, snapshot)
		book.Quarantines(start)
	})
}

func BenchmarkJudge(b *testing.B) {
	for _, crashes := range []int{0, 15, 256} {
		b.Run(fmt.Sprintf("crashes=%d", crashes), func(b *testing.B) {
			book := crowded(crashes, 64)
			now := start.Add(time.Minute)
			b.ReportAllocs()
			for b.Loop() {
				book.Judge(now, fingerprint(1))
			}
		})
	}
}

func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 4<<10)
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		poison.NewFingerprint("account", "model", body)
	}
}

func BenchmarkCandidates(b *testing.B) {
	var servers []names.BackendServer
	for i := range 16 {
		servers = append(servers, names.BackendServer(fmt.Sprint(i)))
	}
	b.ReportAllocs()
	for b.Loop() {
		poison.Candidates(poisonous, servers)
	}
}

func BenchmarkExchange(b *testing.B) {
	for _, crashes := range []int{1, 15} {
		b.Run(fmt.Sprintf("crashes=%d", crashes), func(b *testing.B) {
			book := crowded(crashes, 64)
			b.ReportAllocs()
			for b.Loop() {
				data, err := proto.Marshal(poison.EncodeSnapshot(book.Exchange()))
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "bytes/exchange")
			}
		})
	}
}
