package config_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/proof"
	"github.com/basilkeel/basilkeel/store"
)

func newRepository(memory store.Store) *config.Repository {
	return config.NewRepository(config.RepositoryConfig{Store: memory, Clock: clock.NewService(clock.ServiceConfig{})})
}

func putAccount(id string, expected config.Version, name string) config.Change {
	return config.Change{
		ID: config.ChangeID(id), Operator: "op-" + id, Expected: expected,
		Edits: []config.Edit{config.PutAccount{Account: account(name)}},
	}
}

var _ = Describe("repository", func() {
	ctx := context.Background()
	var memory *proof.Store
	BeforeEach(func() { memory = proof.NewStore() })

	It("names the other change when operators race", func() {
		first, second := newRepository(memory), newRepository(memory)
		raced := false
		memory.SetHook(func(operation, key string) {
			if operation == "swap" && key == config.RootKey && !raced {
				raced = true
				_, err := second.Commit(ctx, putAccount("theirs", 0, "b"))
				Expect(err).NotTo(HaveOccurred())
			}
		})
		_, err := first.Commit(ctx, putAccount("mine", 0, "a"))
		var conflictError *config.ConflictError
		Expect(errors.As(err, &conflictError)).To(BeTrue())
		Expect(*conflictError).To(Equal(config.ConflictError{Expected: 0, Current: 1, ChangeID: "theirs", Operator: "op-theirs"}))
	})

	It("accepts a change once although every answer is lost", func() {
		memory.LoseAnswers(100)
		repository := newRepository(memory)
		record, err := repository.Commit(ctx, putAccount("mine", 0, "a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(record.Version).To(BeEquivalentTo(1))
		again, err := newRepository(memory).Commit(ctx, putAccount("mine", 0, "a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Version).To(BeEquivalentTo(1))
		_, err = repository.Commit(ctx, putAccount("mine", 0, "b"))
		Expect(err).To(MatchError(ContainSubstring("was used for other edits")))
	})

	It("says that it does not know, and settles it on repeat", func() {
		memory.SetHook(func(operation, key string) {
			if operation == "swap" && key == config.RootKey {
				memory.LoseAnswers(1)
				memory.SetHook(func(operation, _ string) { memory.SetDown(operation == "get") })
			}
		})
		_, err := newRepository(memory).Commit(ctx, putAccount("mine", 0, "a"))
		var unknownError *store.UnknownError
		Expect(errors.As(err, &unknownError)).To(BeTrue())
		memory.SetHook(nil)
		memory.SetDown(false)
		record, err := newRepository(memory).Commit(ctx, putAccount("mine", 0, "a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(record.Version).To(BeEquivalentTo(1))
		Expect(newRepository(memory).History(ctx, 0, 10)).To(HaveLen(1))
	})

	It("keeps the history over many changes, and no object that nothing refers to", func() {
		repository := newRepository(memory)
		for version := range config.Version(700) {
			_, err := repository.Commit(ctx, putAccount(fmt.Sprint("c", version), version, fmt.Sprint("a", version%50)))
			Expect(err).NotTo(HaveOccurred())
		}
		records, err := repository.History(ctx, 0, 1_000)
		Expect(err).NotTo(HaveOccurred())
		Expect(records).To(HaveLen(700))
		Expect(records[699].ChangeID).To(BeEquivalentTo("c0"))
		Expect(repository.History(ctx, 5, 2)).To(HaveExactElements(
			HaveField("Version", BeEquivalentTo(4)), HaveField("Version", BeEquivalentTo(3))))
		// Eight shards, two pages, the layout, the history and the root.
		Expect(memory.Entries()).To(HaveLen(13))
		again, err := repository.Commit(ctx, putAccount("c3", 3, "a3"))
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Version).To(BeEquivalentTo(4))
	})

	It("holds the target size in values under a megabyte, and writes few a change", func() {
		repository := newRepository(memory)
		version := fillTarget(repository)
		largest := 0
		for _, entry := range memory.Entries() {
			largest = max(largest, len(entry.Value()))
		}
		Expect(largest).To(BeNumerically("<", store.MaxValueBytes))
		before := memory.Calls()
		_, err := repository.Commit(ctx, config.Change{ID: "last", Expected: version, Edits: []config.Edit{config.WithdrawKey{Name: "key-3-77"}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(memory.Calls()["swap"] - before["swap"]).To(Equal(4))
		Expect(memory.Calls()["get"] - before["get"]).To(BeNumerically("<=", 3))
	})
})

// TestRepositoryAgainstOracle commits new and repeated changes through two
// repositories while the store loses answers, drops writes and is unavailable.
// It checks that the stored history contains every acknowledged change once.
func TestRepositoryAgainstOracle(t *testing.T) {
	ctx := context.Background()
	rapid.Check(t, func(t *rapid.T) {
		memory := proof.NewStore()
		repositories := []*config.Repository{newRepository(memory), newRepository(memory)}
		accepted := map[config.ChangeID]config.Version{}
		var sent []config.Change
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			change := drawChange(t, step, sent, config.Version(len(accepted)))
			sent = append(sent, change)
			memory.LoseAnswers(rapid.SampledFrom([]int{0, 0, 1, 3, 9}).Draw(t, "lost"))
			memory.DropWrites(rapid.SampledFrom([]int{0, 0, 1, 3, 9}).Draw(t, "dropped"))
			memory.SetDown(rapid.SampledFrom([]bool{false, false, false, true}).Draw(t, "down"))
			record, err := rapid.SampledFrom(repositories).Draw(t, "repository").Commit(ctx, change)
			if err != nil {
				continue
			}
			if version, ok := accepted[change.ID]; ok && version != record.Version {
				t.Fatalf("change %s was accepted as %d and as %d", change.ID, version, record.Version)
			}
			accepted[change.ID] = record.Version
		}
		memory.LoseAnswers(0)
		memory.DropWrites(0)
		memory.SetDown(false)
		checkOutcome(t, memory, accepted)
	})
}

// TestUpdatesAgainstOracle applies updates between random versions, and checks
// that an altered update is rejected.
func TestUpdatesAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bundles := []*config.Bundle{config.EmptyBundle()}
		snapshot := config.NewSnapshot(config.SnapshotConfig{})
		for version := range config.Version(rapid.IntRange(1, 12).Draw(t, "changes")) {
			change := config.Change{ID: "c", Expected: version, Edits: []config.Edit{drawEdit(t)}}
			next, err := config.Apply(snapshot, config.Record{}, change)
			if err != nil {
				break
			}
			snapshot = next
			bundles = append(bundles, config.NewBundle(config.Split(snapshot)))
		}
		base := rapid.SampledFrom(bundles).Draw(t, "base")
		target := rapid.SampledFrom(bundles).Draw(t, "target")
		update := config.NewUpdate(base, target)
		updated, err := update.Apply(base)
		if err != nil {
			t.Fatal(err)
		}
		got, err := updated.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		want, err := target.Snapshot()
		if err != nil || len(config.Diff(got, want)) > 0 || got.Version() != want.Version() {
			t.Fatalf("updated bundle differs from its target by %v: %v", config.Diff(got, want), err)
		}
		for i := range update.Parts {
			update.Parts[i].Patch.Middle = append([]byte("x"), update.Parts[i].Patch.Middle...)
			if _, err := update.Apply(base); err == nil {
				t.Fatal("an altered update was accepted")
			}
		}
	})
}

func drawChange(t *rapid.T, step int, sent []config.Change, version config.Version) config.Change {
	if len(sent) > 0 && rapid.Bool().Draw(t, "repeat") {
		return rapid.SampledFrom(sent).Draw(t, "change")
	}
	expected := max(0, version+config.Version(rapid.IntRange(-1, 1).Draw(t, "offset")))
	return config.Change{ID: config.ChangeID(fmt.Sprint("c", step)), Expected: expected, Edits: []config.Edit{drawEdit(t)}}
}

func checkOutcome(t *rapid.T, memory *proof.Store, accepted map[config.ChangeID]config.Version) {
	repository := newRepository(memory)
	root, err := repository.Root(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	bundle, err := repository.Load(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := bundle.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	records, err := repository.History(context.Background(), 0, 100)
	if err != nil {
		t.Fatal(err)
	}
	if len(records) != int(root.Version()) || snapshot.Version() != root.Version() {
		t.Fatalf("%d records or another snapshot version for root version %d", len(records), root.Version())
	}
	seen := map[config.ChangeID]config.Version{}
	for i, record := range records {
		if want := root.Version() - config.Version(i); record.Version != want {
			t.Fatalf("record %d has version %d, want %d", i, record.Version, want)
		}
		if _, twice := seen[record.ChangeID]; twice {
			t.Fatalf("change %s took effect twice", record.ChangeID)
		}
		seen[record.ChangeID] = record.Version
	}
	for id, version := range accepted {
		if seen[id] != version {
			t.Fatalf("change %s was acknowledged with version %d, the history has %d", id, version, seen[id])
		}
	}
}

// fillTarget stores a configuration of the target size, which is 1,000 accounts,
// 5,000 keys, and 340 models with 100 adapters each. It returns the version.
func fillTarget(repository *config.Repository) config.Version {
	version := config.Version(0)
	commit := func(edits []config.Edit) {
		_, err := repository.Commit(context.Background(), config.Change{ID: config.ChangeID(fmt.Sprint("c", version)), Expected: version, Edits: edits})
		Expect(err).NotTo(HaveOccurred())
		version++
	}
	var accounts, models []config.Edit
	for i := range 1_000 {
		accounts = append(accounts, config.PutAccount{Account: account(fmt.Sprint("account-", i))})
	}
	for i := range 340 {
		models = append(models, config.PutModel{Model: model(fmt.Sprint("model-", i), 100)})
	}
	commit(accounts)
	commit(models)
	for batch := range 5 {
		var keys []config.Edit
		for i := range 1_000 {
			name := fmt.Sprint("key-", batch, "-", i)
			keys = append(keys, config.PutKey{Key: key(name, fmt.Sprint("account-", i))})
		}
		commit(keys)
	}
	return version
}

func updateBytes(update config.Update) int {
	total := 60
	for _, part := range update.Parts {
		total += 80 + len(part.Patch.Middle)
	}
	return total
}

// BenchmarkUpdate measures the work of an instance for one change at the target
// size: applying the update and building the snapshot.
func BenchmarkUpdate(b *testing.B) {
	RegisterTestingT(b)
	ctx := context.Background()
	repository := newRepository(proof.NewStore())
	version := fillTarget(repository)
	base, err := repository.Load(ctx)
	Expect(err).NotTo(HaveOccurred())
	_, err = repository.Commit(ctx, config.Change{ID: "c", Expected: version, Edits: []config.Edit{config.WithdrawKey{Name: "key-3-77"}}})
	Expect(err).NotTo(HaveOccurred())
	target, err := repository.Load(ctx)
	Expect(err).NotTo(HaveOccurred())
	update := config.NewUpdate(base, target)
	for b.Loop() {
		bundle, err := update.Apply(base)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := bundle.Snapshot(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(updateBytes(update)), "updateB")
	b.ReportMetric(float64(updateBytes(config.NewUpdate(config.EmptyBundle(), target))), "wholeB")
}

// BenchmarkCommit measures the work of an entry for one change at the target
// size, and its calls to the store.
func BenchmarkCommit(b *testing.B) {
	RegisterTestingT(b)
	memory := proof.NewStore()
	repository := newRepository(memory)
	version := fillTarget(repository)
	before, changes := memory.Calls(), 0
	for b.Loop() {
		edit := config.PutAccount{Account: account(fmt.Sprint("more-", version))}
		change := config.Change{ID: config.ChangeID(fmt.Sprint("c", version)), Expected: version, Edits: []config.Edit{edit}}
		if _, err := repository.Commit(context.Background(), change); err != nil {
			b.Fatal(err)
		}
		version++
		changes++
	}
	for operation, count := range memory.Calls() {
		b.ReportMetric(float64(count-before[operation])/float64(changes), operation+"s/change")
	}
}
