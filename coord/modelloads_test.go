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
		entry   names.Instance
		at      time.Duration
		loads   []pool.ModelLoad
		invalid int
	}{
		{entry: "edge-1", loads: []pool.ModelLoad{load("a", 1, 100)}},
		{entry: "edge-2", loads: []pool.ModelLoad{load("b", 1, 50)}},
		{entry: "edge-2", at: 4 * time.Second, loads: []pool.ModelLoad{load("a", 1, 3), load("b", 1, 1), load("a", 2, 7)}},
		{entry: "edge-3", at: 5 * time.Second, loads: []pool.ModelLoad{load("a", 1, 2), load("b", 1, -4), load("b", 1, math.MaxInt32), load("", 1, 1)}, invalid: 3},
	}
	withAdapter := load("a", 1, 1)
	withAdapter.Adapter = "a1"
	reports[2].loads = append(reports[2].loads, withAdapter)
	term := &term{
		reports: map[names.Instance]entryReport{}, totalLoads: map[names.BackendServer]int{},
		modelLoads: map[modelCopy]int{}, adapterUses: map[adapterCopy]time.Time{},
	}
	for _, each := range reports {
		decoded := Report{ModelLoads: decodeModelLoads(encodeModelLoads(each.loads))}
		loads, invalid := modelLoadsOf(decoded)
		g.Expect(invalid).To(Equal(each.invalid))
		term.recordAdapterUses(decoded, now.Add(each.at))
		term.storeReport(each.entry, entryReport{receivedAt: now.Add(each.at), modelLoads: loads}, now.Add(each.at))
	}
	g.Expect(term.modelLoads).To(Equal(map[modelCopy]int{
		{server: "e1", incarnation: 1, model: "a"}: 6, {server: "e1", incarnation: 1, model: "b"}: 1, {server: "e1", incarnation: 2, model: "a"}: 7,
	}))
	used := adapterCopy{modelCopy: modelCopy{server: "e1", incarnation: 1, model: "a"}, adapter: "a1"}
	g.Expect(term.adapterUses).To(Equal(map[adapterCopy]time.Time{used: now.Add(4 * time.Second)}))
	term.expireAdapterUses(now.Add(2 * adapterUseLifetime))
	g.Expect(term.adapterUses).To(BeEmpty())
}
