package claim

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/store"
)

const (
	loadSeconds         = 20
	loadLatency         = 5 * time.Millisecond
	loadCallDuration    = 100 * time.Millisecond
	loadWritesPerSecond = 200
)

// loadEvent is a function to run at a virtual time.
type loadEvent struct {
	at    time.Time
	order int
	run   func()
}

// loadQueue is a heap of events, ordered by time and then by order of creation.
type loadQueue []loadEvent

func (queue loadQueue) Len() int { return len(queue) }
func (queue loadQueue) Less(i, j int) bool {
	if queue[i].at.Equal(queue[j].at) {
		return queue[i].order < queue[j].order
	}
	return queue[i].at.Before(queue[j].at)
}
func (queue loadQueue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }
func (queue *loadQueue) Push(x any)   { *queue = append(*queue, x.(loadEvent)) }
func (queue *loadQueue) Pop() any {
	old := *queue
	last := old[len(old)-1]
	*queue = old[:len(old)-1]
	return last
}

// loadRun simulates orders, which are calls that may not be repeated, as they
// arrive at entries over virtual time.
type loadRun struct {
	entries, shards, orders int
	sealBytes               int
	// direct makes each entry write the operations that arrive at it, instead of
	// one entry for each shard.
	direct bool

	now     time.Time
	events  loadQueue
	order   int
	store   *faultStore
	writers map[[2]int]*Writer
	replies map[OperationID]func(Reply)
	lastID  OperationID
	rng     *rand.Rand
	reads   int
	swaps   int
	refused int
	waits   []time.Duration
}

func (run *loadRun) after(wait time.Duration, event func()) {
	run.order++
	heap.Push(&run.events, loadEvent{at: run.now.Add(wait), order: run.order, run: event})
}

// simulate runs for loadSeconds of virtual time.
func (run *loadRun) simulate() {
	run.now, run.store = epoch, newFaultStore()
	run.writers, run.replies = map[[2]int]*Writer{}, map[OperationID]func(Reply){}
	run.rng = rand.New(rand.NewPCG(1, 2))
	run.arrive(0)
	end := epoch.Add(loadSeconds * time.Second)
	for len(run.events) > 0 {
		event := heap.Pop(&run.events).(loadEvent)
		if event.at.After(end) {
			return
		}
		run.now = event.at
		event.run()
	}
}

// arrive handles the arrival of order number i and schedules the next one, as a
// Poisson process.
func (run *loadRun) arrive(i int) {
	claim := Claim{id: NewID("account", fmt.Sprint(i)), attempt: names.Request(fmt.Sprintf("request-%020d", i))}
	entry, arrived := run.rng.IntN(run.entries), run.now
	run.submit(entry, Begin{Claim: claim}, func(reply Reply) {
		if _, granted := reply.(Granted); !granted {
			run.refused++
			return
		}
		run.waits = append(run.waits, run.now.Sub(arrived))
		run.after(loadCallDuration, func() {
			answer := &Answer{Status: 201, ContentType: "application/json", Body: make([]byte, 100)}
			run.submit(entry, Finish{Claim: claim, Ran: true, Answer: answer}, func(Reply) {})
		})
	})
	run.after(time.Duration(run.rng.ExpFloat64()*float64(time.Second)/float64(run.orders)), func() { run.arrive(i + 1) })
}

// submit passes an operation to the writer of its shard, or with direct to the
// writer that the entry itself has for the shard.
func (run *loadRun) submit(entry int, operation Operation, done func(Reply)) {
	shard := operation.Target().id.Shard(run.shards)
	key := [2]int{0, shard}
	if run.direct {
		key[0] = entry
	}
	if run.writers[key] == nil {
		interval := time.Duration(float64(run.shards) / loadWritesPerSecond * float64(time.Second))
		run.writers[key] = NewWriter(WriterConfig{Shard: shard, Interval: interval, SealBytes: run.sealBytes})
	}
	run.lastID++
	run.replies[run.lastID] = done
	run.step(run.writers[key], Submit{ID: run.lastID, Operation: operation})
}

func (run *loadRun) step(writer *Writer, input Input) {
	for _, action := range writer.Step(run.now, input) {
		switch action := action.(type) {
		case Load:
			run.after(loadLatency, func() {
				run.reads += 2
				loaded, err := load(context.Background(), run.store, writer.config.Shard, action.From)
				if err != nil {
					panic(err)
				}
				run.step(writer, loaded)
			})
		case Write:
			run.swaps++
			run.after(loadLatency, func() {
				run.step(writer, Written{Result: newWriteResult(run.store.Swap(context.Background(), action.Swap))})
			})
		case Respond:
			run.replies[action.ID](action.Reply)
			delete(run.replies, action.ID)
		case Wake:
			run.after(action.At.Sub(run.now), func() { run.step(writer, Tick{}) })
		case DeleteKeys:
		}
	}
}

// BenchmarkLoad reports the calls to the key-value service and the wait for a
// claim, by orders per second, shards, entries, and which entry writes.
func BenchmarkLoad(b *testing.B) {
	for _, test := range []struct {
		direct bool
		orders []int
	}{
		{direct: false, orders: []int{10, 50, 270, 1000}},
		{direct: true, orders: []int{10, 50, 100}},
	} {
		for _, entries := range []int{3, 400} {
			for _, shards := range []int{1, 16, 64} {
				for _, orders := range test.orders {
					name := fmt.Sprintf("direct=%t/entries=%d/shards=%d/orders=%d", test.direct, entries, shards, orders)
					run := loadRun{entries: entries, shards: shards, orders: orders, direct: test.direct}
					b.Run(name, func(b *testing.B) { benchmarkLoad(b, run) })
				}
			}
		}
	}
}

// BenchmarkSeal reports the same by the size at which a head is sealed.
func BenchmarkSeal(b *testing.B) {
	for _, sealBytes := range []int{4 << 10, 8 << 10, 16 << 10, 64 << 10} {
		for _, orders := range []int{50, 270} {
			run := loadRun{entries: 400, shards: 64, orders: orders, sealBytes: sealBytes}
			b.Run(fmt.Sprintf("bytes=%d/orders=%d", sealBytes, orders), func(b *testing.B) { benchmarkLoad(b, run) })
		}
	}
}

func benchmarkLoad(b *testing.B, config loadRun) {
	var run loadRun
	for range b.N {
		run = config
		run.simulate()
	}
	slices.Sort(run.waits)
	b.ReportMetric(float64(run.swaps)/loadSeconds, "writes/s")
	b.ReportMetric(float64(run.reads)/loadSeconds, "reads/s")
	b.ReportMetric(float64(run.store.bytes)/loadSeconds/1000, "KB-written/s")
	b.ReportMetric(float64(run.refused)/loadSeconds, "refused/s")
	if len(run.waits) > 0 {
		b.ReportMetric(run.waits[len(run.waits)/2].Seconds()*1000, "p50-ms")
		b.ReportMetric(run.waits[len(run.waits)*99/100].Seconds()*1000, "p99-ms")
		b.ReportMetric(float64(len(run.waits))/loadSeconds, "granted/s")
	}
}

// BenchmarkWriter reports the time for one claim, begun and finished, by the
// number of claims that are written at once.
func BenchmarkWriter(b *testing.B) {
	for _, group := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("group=%d", group), func(b *testing.B) {
			driver := newDriver(WriterConfig{MaxSegments: 1 << 40})
			driver.deferWrites = true
			b.ReportAllocs()
			for i := 0; i < b.N; i += group {
				for j := range group {
					driver.submit(newBegin(i+j, "request"))
				}
				driver.drain()
				for j := range group {
					driver.submit(Finish{Claim: newBegin(i+j, "request").Claim, Ran: true})
				}
				driver.drain()
				clear(driver.replies)
			}
		})
	}
}

// drain completes the deferred writes, without storing their values.
func (driver *driver) drain() {
	for len(driver.pending) > 0 {
		driver.store.revision++
		driver.finishWrite(Applied{Revision: driver.store.revision})
	}
}

// BenchmarkBytes reports the size of one claim in the key-value service and in
// the memory of a writer.
func BenchmarkBytes(b *testing.B) {
	for _, body := range []int{0, 100, 1000} {
		b.Run(fmt.Sprintf("answer=%d", body), func(b *testing.B) {
			const claims = 20_000
			for range b.N {
				driver := newDriver(WriterConfig{MaxSegments: 1 << 40})
				before := heapBytes()
				for i := range claims {
					request := fmt.Sprintf("0195f0a0-0000-7000-8000-%012d", i)
					driver.submit(newBegin(i, request))
					driver.submit(Finish{Claim: newBegin(i, request).Claim, Ran: true, Answer: &Answer{Status: 201, Body: make([]byte, body)}})
				}
				stored := 0
				for _, entry := range driver.store.entries {
					stored += len(entry.Value())
				}
				driver.store.entries = map[string]store.Entry{}
				clear(driver.replies)
				driver.replies = nil
				b.ReportMetric(float64(stored)/claims, "stored-B/claim")
				b.ReportMetric((heapBytes()-before)/claims, "memory-B/claim")
				runtime.KeepAlive(driver)
			}
		})
	}
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
