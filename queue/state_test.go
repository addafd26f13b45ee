package queue_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/queue"
)

// heapBytes returns the bytes that are reachable on the heap.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkState reports the memory of a waiting request without its identifiers,
// with a hundred requests for each account and with one.
func BenchmarkState(b *testing.B) {
	const queued = 10_000
	for _, accounts := range []int{queued / 100, queued} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			items := make([]queue.Item, queued)
			for number := range items {
				account := names.ClientAccount(fmt.Sprint(number % accounts))
				items[number] = item(fmt.Sprint(number), account, call.KindInteractive)
			}
			for b.Loop() {
				before := heapBytes()
				waiting := queue.New(queue.Config{Slots: 1, Policy: queue.Policy{NoRefusal: true}})
				for _, each := range items {
					waiting.Offer(at(0), each)
				}
				b.ReportMetric((heapBytes()-before)/queued, "B/request")
				runtime.KeepAlive(waiting)
			}
		})
	}
}
