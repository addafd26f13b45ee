package claim

import (
	"time"

	"github.com/basilkeel/basilkeel/store"
)

// indexEntry is the last record of a claim and the number of the segment that
// holds it. A record in the head has the number of the segment that the head
// will be sealed to.
type indexEntry struct {
	record  Record
	segment int64
}

// view is a writer's image of its shard: all that was stored up to revision.
type view struct {
	// valid reports whether the view was complete at confirmedAt, when it was
	// last read or written.
	valid       bool
	confirmedAt time.Time
	revision    store.Revision
	head        head
	headBytes   int
	// copiedRecords counts the leading records of the head that the segment
	// numbered head.sealed already holds.
	copiedRecords int
	index         map[ID]indexEntry
	// latest is the time of the latest record of each segment.
	latest map[int64]time.Time
}

func newView() view {
	return view{index: map[ID]indexEntry{}, latest: map[int64]time.Time{}}
}

// firstUnread returns the number of the first segment that a load has to read.
func (view *view) firstUnread() int64 { return view.head.sealed }

// applyLoaded updates the view with the result of a load. If the store has
// returned to an older state, the view is cleared and stays invalid.
func (view *view) applyLoaded(now time.Time, loaded Loaded) {
	if loaded.head.sealed < view.head.sealed {
		*view = newView()
		return
	}
	for number := max(view.firstUnread(), loaded.head.first); number < loaded.head.sealed; number++ {
		view.indexRecords(number, loaded.segments[number])
	}
	view.revision = loaded.Revision
	view.copiedRecords = len(loaded.segments[loaded.head.sealed])
	view.setHead(loaded.head)
	// A segment with more records than the head was sealed after the head was
	// read.
	view.valid = view.copiedRecords <= len(loaded.head.records)
	view.confirmedAt = now
}

// commit updates the view with a head that was written.
func (view *view) commit(now time.Time, revision store.Revision, head head) {
	view.revision = revision
	view.copiedRecords = 0
	view.setHead(head)
	view.confirmedAt = now
}

func (view *view) setHead(head head) {
	if head.first > view.head.first {
		view.evictBefore(head.first)
	}
	view.head = head
	view.headBytes = recordsBytes(head.records)
	view.indexRecords(head.sealed, head.records)
}

// indexRecords adds records to the index, in the order in which they were stored.
func (view *view) indexRecords(segment int64, records []Record) {
	for _, record := range records {
		view.index[record.ID] = indexEntry{record: record, segment: segment}
		if record.Time.After(view.latest[segment]) {
			view.latest[segment] = record.Time
		}
	}
}

// evictBefore removes the records whose last segment is below first.
func (view *view) evictBefore(first int64) {
	for id, entry := range view.index {
		if entry.segment < first {
			delete(view.index, id)
		}
	}
	for number := range view.latest {
		if number < first {
			delete(view.latest, number)
		}
	}
}

// firstUnexpired returns the number of the first segment with a record no older
// than retention, or that of the head if no segment has one.
func (view *view) firstUnexpired(now time.Time, retention time.Duration) int64 {
	first := view.head.first
	for first < view.head.sealed && now.Sub(view.latest[first]) > retention {
		first++
	}
	return first
}

func (view *view) lookup(id ID) (Record, bool) {
	entry, ok := view.index[id]
	return entry.record, ok
}

// recordOverheadBytes is the size counted for a record in addition to its attempt
// and answer.
const recordOverheadBytes = 2*hashBytes + 24

func recordsBytes(records []Record) int {
	total := 0
	for _, record := range records {
		total += record.bytes()
	}
	return total
}

// bytes returns an upper estimate of the record's stored size.
func (record Record) bytes() int {
	bytes := recordOverheadBytes + len(record.Attempt)
	if record.Answer != nil {
		bytes += record.Answer.bytes()
	}
	return bytes
}
