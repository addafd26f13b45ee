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

// trackerWithCrashes returns a tracker with the given number of crashes, each of
// which has running fingerprints of its own.
func trackerWithCrashes(crashes, running int) *poison.Tracker {
	tracker := poison.NewTracker(poison.Config{})
	for i := range crashes {
		crash := poison.Crash{
			ID: poison.CrashID{Server: names.BackendServer(fmt.Sprintf("server-%03d", i)), Boot: "boot-1#1"},
			At: start.Add(time.Duration(i) * time.Minute / 10),
		}
		for j := range running {
			crash.Running = append(crash.Running, fingerprint(i*running+j))
		}
		tracker.RecordCrash(crash.At, crash)
	}
	return tracker
}

func TestSnapshotRoundTrip(t *testing.T) {
	g := NewWithT(t)
	tracker := trackerWithCrashes(3, 4)
	tracker.RecordCompletion(start, fingerprint(2))
	decoded, err := poison.DecodeSnapshot(poison.EncodeSnapshot(tracker.Snapshot()))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded).To(Equal(tracker.Snapshot()))
}

func FuzzDecodeSnapshot(f *testing.F) {
	data, err := proto.Marshal(poison.EncodeSnapshot(trackerWithCrashes(2, 3).Snapshot()))
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
		tracker := poison.NewTracker(poison.Config{})
		tracker.Merge(start, snapshot)
		tracker.Quarantines(start)
	})
}

func BenchmarkClassify(b *testing.B) {
	for _, crashes := range []int{0, 15, 256} {
		b.Run(fmt.Sprintf("crashes=%d", crashes), func(b *testing.B) {
			tracker := trackerWithCrashes(crashes, 64)
			now := start.Add(time.Minute)
			b.ReportAllocs()
			for b.Loop() {
				tracker.Classify(now, fingerprint(1))
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

func BenchmarkEncodeSnapshot(b *testing.B) {
	for _, crashes := range []int{1, 15} {
		b.Run(fmt.Sprintf("crashes=%d", crashes), func(b *testing.B) {
			tracker := trackerWithCrashes(crashes, 64)
			b.ReportAllocs()
			for b.Loop() {
				data, err := proto.Marshal(poison.EncodeSnapshot(tracker.Snapshot()))
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "bytes/exchange")
			}
		})
	}
}
