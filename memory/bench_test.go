package memory_test

import (
	"testing"

	"github.com/basilkeel/basilkeel/memory"
)

// BenchmarkSmallBody measures what a request with a small body and a small response adds.
func BenchmarkSmallBody(b *testing.B) {
	budget := memory.NewBudget(limit)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			account := budget.NewAccount()
			_, _ = account.HoldBody(1700, 1700, start)
			account.Hold(memory.Response, 4096)
			account.Close(start)
		}
	})
}
