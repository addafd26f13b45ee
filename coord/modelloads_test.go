package coord //nolint:testpackage // sums of reports have no other accessor

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
)

// TestModelLoadsOfReports guards against figures of an entry that are trusted although they
// are absurd, that outlive their entry, or that count for another incarnation.
func TestModelLoadsOfReports(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	load := func(model names.Model, incarnation int64, running int) pool.ModelLoad {
		return pool.ModelLoad{Server: "e1", Incarnation: incarnation, Model: model, Running: running}
	}
	reports := []struct {
		age     time.Duration
		loads   []pool.ModelLoad
		invalid int
	}{
		{loads: []pool.ModelLoad{load("a", 1, 3), load("b", 1, 1), load("a", 2, 7)}},
		{age: time.Second, loads: []pool.ModelLoad{load("a", 1, 2), load("b", 1, -4), load("b", 1, math.MaxInt32), load("", 1, 1)}, invalid: 3},
		{age: 5 * time.Second, loads: []pool.ModelLoad{load("a", 1, 100)}},
	}
	withAdapter := load("a", 1, 1)
	withAdapter.Adapter = "a1"
	reports[0].loads = append(reports[0].loads, withAdapter)
	term := &term{reports: map[names.Instance]entryReport{}, adapterUses: map[adapterCopy]time.Time{}}
	for index, each := range reports {
		decoded := Report{ModelLoads: decodeModelLoads(encodeModelLoads(each.loads))}
		loads, invalid := modelLoadsOf(decoded)
		g.Expect(invalid).To(Equal(each.invalid))
		term.recordAdapterUses(decoded, now.Add(-each.age))
		term.reports[names.Instance(rune('a'+index))] = entryReport{receivedAt: now.Add(-each.age), modelLoads: loads}
	}
	g.Expect(term.sumModelLoads(now).sums).To(Equal(map[modelCopy]int{
		{server: "e1", incarnation: 1, model: "a"}: 6, {server: "e1", incarnation: 1, model: "b"}: 1, {server: "e1", incarnation: 2, model: "a"}: 7,
	}))
	used := adapterCopy{modelCopy: modelCopy{server: "e1", incarnation: 1, model: "a"}, adapter: "a1"}
	g.Expect(term.adapterUses).To(Equal(map[adapterCopy]time.Time{used: now}))
	term.sumModelLoads(now.Add(2 * adapterUseLifetime))
	g.Expect(term.adapterUses).To(BeEmpty())
}
