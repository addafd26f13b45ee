package claim

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/store"
)

// driver runs one writer with a store that answers at once.
type driver struct {
	writer *Writer
	store  *faultStore
	now    time.Time
	lastID OperationID
	// deferWrites puts writes into pending instead of carrying them out.
	deferWrites bool
	pending     []Write
	replies     map[OperationID]Reply
	wake        time.Time
}

func newDriver(config WriterConfig) *driver {
	return &driver{writer: NewWriter(config), store: newFaultStore(), now: epoch, replies: map[OperationID]Reply{}}
}

func (driver *driver) submit(operation Operation) OperationID {
	driver.lastID++
	driver.step(Submit{ID: driver.lastID, Operation: operation})
	return driver.lastID
}

func (driver *driver) step(input Input) {
	for _, action := range driver.writer.Step(driver.now, input) {
		switch action := action.(type) {
		case Load:
			loaded, err := load(context.Background(), driver.store, driver.writer.config.Shard, action.From)
			if err != nil {
				driver.step(LoadFailed{})
			} else {
				driver.step(loaded)
			}
		case Write:
			if driver.deferWrites {
				driver.pending = append(driver.pending, action)
			} else {
				driver.step(Written{Result: newWriteResult(driver.store.Swap(context.Background(), action.Swap))})
			}
		case DeleteKeys:
			for _, key := range action.Keys {
				_ = driver.store.Delete(context.Background(), key, 0)
			}
		case Respond:
			driver.replies[action.ID] = action.Reply
		case Wake:
			driver.wake = action.At
		}
	}
}

// finishWrite completes the first deferred write with a result. It stores
// nothing.
func (driver *driver) finishWrite(writeResult WriteResult) {
	driver.pending = driver.pending[1:]
	driver.step(Written{Result: writeResult})
}

func newBegin(key int, request string) Begin {
	return Begin{Claim: Claim{id: NewID("account", fmt.Sprint(key)), attempt: names.Request(request)}}
}

func TestWriterGroupsWhatWaits(t *testing.T) {
	g := NewWithT(t)
	driver := newDriver(WriterConfig{})
	driver.deferWrites = true
	driver.submit(newBegin(0, "first"))
	for i := range 50 {
		driver.submit(newBegin(i+1, fmt.Sprint(i)))
	}
	g.Expect(driver.pending).To(HaveLen(1))
	driver.finishWrite(Applied{Revision: 1})
	g.Expect(driver.replies).To(HaveLen(1))
	g.Expect(driver.pending).To(HaveLen(1))
	driver.finishWrite(Applied{Revision: 2})
	g.Expect(driver.replies).To(HaveLen(51))
	g.Expect(driver.replies).To(HaveEach(Granted{}))
}

func TestWriterKeepsItsRate(t *testing.T) {
	g := NewWithT(t)
	driver := newDriver(WriterConfig{Interval: time.Second})
	for i := range writeBurst + 3 {
		driver.submit(newBegin(i, fmt.Sprint(i)))
	}
	g.Expect(driver.store.swaps).To(Equal(writeBurst))
	g.Expect(driver.wake).To(Equal(epoch.Add(time.Second)))
	driver.now = driver.wake
	driver.step(Tick{})
	g.Expect(driver.store.swaps).To(Equal(writeBurst + 1))
	g.Expect(driver.replies).To(HaveLen(writeBurst + 3))
}

func TestWriterRefusesDuringCooldown(t *testing.T) {
	g := NewWithT(t)
	driver := newDriver(WriterConfig{Cooldown: time.Second})
	driver.deferWrites = true
	first := driver.submit(newBegin(0, "first"))
	driver.finishWrite(NotApplied{})
	g.Expect(driver.replies[first]).To(Equal(Failed{}))
	second := driver.submit(newBegin(1, "second"))
	g.Expect(driver.replies[second]).To(Equal(Failed{}))
	g.Expect(driver.pending).To(BeEmpty())
	driver.now = driver.now.Add(time.Second)
	driver.submit(newBegin(2, "third"))
	g.Expect(driver.pending).To(HaveLen(1))
	beside := driver.submit(newBegin(3, "beside"))
	g.Expect(driver.replies[beside]).To(Equal(Failed{}), "one operation at a time tries the service")
	driver.finishWrite(NotApplied{})
	driver.now = driver.now.Add(time.Second)
	driver.submit(newBegin(2, "third"))
	g.Expect(driver.pending).To(BeEmpty(), "the second cooldown is longer")
}

// TestWriterRefusesWhenFull fills a shard. It checks that a full shard loses no
// claim to make room, and that there is room after the retention has passed.
func TestWriterRefusesWhenFull(t *testing.T) {
	g := NewWithT(t)
	config := WriterConfig{SealBytes: 500, MaxSegments: 3, Retention: time.Hour}
	driver := newDriver(config)
	granted := 0
	var refusal *call.Refusal
	for refusal == nil {
		g.Expect(granted).To(BeNumerically("<", 1000))
		id := driver.submit(newBegin(granted, "r"))
		if denied, ok := driver.replies[id].(Denied); ok {
			refusal = denied.Refusal
		} else {
			g.Expect(driver.replies[id]).To(Equal(Granted{}))
			granted++
		}
	}
	g.Expect(refusal.Code).To(Equal(call.CodeUnavailable))
	g.Expect(refusal.OutcomeOrUnknown()).To(Equal(call.NotRun{}))
	for i := range granted {
		id := driver.submit(newBegin(i, "again"))
		g.Expect(driver.replies[id]).To(BeAssignableToTypeOf(Denied{}))
	}
	finish := driver.submit(Finish{Claim: newBegin(0, "r").Claim, Ran: true})
	g.Expect(driver.replies[finish]).To(Equal(Acknowledged{}), "outcomes are stored also when full")
	keys := len(driver.store.entries)

	driver.now = driver.now.Add(time.Hour + time.Second)
	id := driver.submit(newBegin(granted, "r"))
	g.Expect(driver.replies[id]).To(Equal(Granted{}))
	g.Expect(len(driver.store.entries)).To(BeNumerically("<", keys))
	// The record of the outcome is younger than those that were removed.
	again := driver.submit(newBegin(0, "again"))
	g.Expect(driver.replies[again]).To(BeAssignableToTypeOf(Denied{}))

	// Another writer reads the same state.
	second := &secondWriter{driver: driver}
	g.Expect(second.reply(newBegin(granted, "again"))).To(BeAssignableToTypeOf(Denied{}))
	g.Expect(second.reply(newBegin(0, "again"))).To(BeAssignableToTypeOf(Denied{}))
}

// secondWriter submits operations to a new writer of the driver's shard.
type secondWriter struct{ driver *driver }

func (secondWriter *secondWriter) reply(operation Operation) Reply {
	fresh := newDriver(secondWriter.driver.writer.config)
	fresh.store, fresh.now = secondWriter.driver.store, secondWriter.driver.now
	return fresh.replies[fresh.submit(operation)]
}

// TestReleaseFencesLateBegin checks that a Begin is denied if it arrives after the
// Release of the same attempt.
func TestReleaseFencesLateBegin(t *testing.T) {
	g := NewWithT(t)
	for _, first := range []Operation{nil, newBegin(0, "other")} {
		driver := newDriver(WriterConfig{})
		if first != nil {
			driver.submit(first)
			driver.submit(Release{Claim: first.Target()})
		}
		driver.submit(Release{Claim: newBegin(0, "late").Claim})
		late := driver.submit(newBegin(0, "late"))
		g.Expect(driver.replies[late]).To(BeAssignableToTypeOf(Denied{}))
		next := driver.submit(newBegin(0, "next"))
		g.Expect(driver.replies[next]).To(Equal(Granted{}))
	}
}

// TestDenialRestsOnFreshView checks that a claim is not denied on a view older
// than MaxViewAge, after another writer has released it.
func TestDenialRestsOnFreshView(t *testing.T) {
	g := NewWithT(t)
	driver, other := newDriver(WriterConfig{}), newDriver(WriterConfig{})
	other.store = driver.store
	driver.submit(newBegin(0, "first"))
	released := other.submit(Release{Claim: newBegin(0, "first").Claim})
	g.Expect(other.replies[released]).To(Equal(Acknowledged{}))
	driver.now = driver.now.Add(defaultMaxViewAge + 1)
	next := driver.submit(newBegin(0, "next"))
	g.Expect(driver.replies[next]).To(Equal(Granted{}))
}

// TestWriterRefusesDamagedShard restores only the head to an older state, so that
// a segment holds more records than the head.
func TestWriterRefusesDamagedShard(t *testing.T) {
	g := NewWithT(t)
	driver := newDriver(WriterConfig{SealBytes: 200})
	driver.submit(newBegin(0, "r"))
	backup := driver.store.entries[headKey(0)]
	for i := 1; i < 20; i++ {
		driver.submit(newBegin(i, "r"))
	}
	g.Expect(driver.writer.view.head.sealed).To(BeNumerically(">", 1))
	driver.store.entries[headKey(0)] = backup
	id := driver.submit(newBegin(20, "r"))
	g.Expect(driver.replies[id]).To(BeAssignableToTypeOf(Failed{}))
}

func TestDamagedValueIsAnError(t *testing.T) {
	g := NewWithT(t)
	service := newFaultStore()
	_, err := service.Swap(context.Background(), store.Swap{Key: headKey(0), Value: []byte("\xff")})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = load(context.Background(), service, 0, 0)
	var formatError *FormatError
	g.Expect(err).To(BeAssignableToTypeOf(formatError))
}

func FuzzDecode(f *testing.F) {
	value, _ := encodeHead(head{sealed: 1, records: []Record{{Attempt: "a", State: StateRan, Answer: &Answer{Status: 200}}}})
	f.Add(value)
	f.Fuzz(func(_ *testing.T, value []byte) {
		_, _ = decodeHead("head", value)
		_, _ = decodeSegment("segment", value)
	})
}
