package claim

import (
	"time"

	"github.com/basilkeel/basilkeel/store"
)

// indexEntry is the last record of a claim and the number of the segment that
// holds it; the head has the number of the segment that it will become.
type indexEntry struct {
	record  Record
	segment int64
}

// view is what a writer knows of its shard: all that was stored up to the
// revision of the head.
type view struct {
	// valid tells that the view was complete when it was confirmed.
	valid       bool
	confirmedAt time.Time
	revision    store.Revision
	head        head
	headBytes   int
	// copiedRecords counts the leading records of the head that the segment numbered
	// head.sealed holds already.
	copiedRecords int
	index         map[ID]indexEntry
	// latest is the time of the last record of each segment.
	latest map[int64]time.Time
}

func newView() view {
	return view{index: map[ID]indexEntry{}, latest: map[int64]time.Time{}}
}

// firstUnread is the first segment that a load must bring.
func (view *view) firstUnread() int64 { return view.head.sealed }

// applyLoaded takes in what a load brought. Where the service has gone back to an
// older state, the view starts anew and stays invalid.
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
	// A copy longer than the head was made after the head was read.
	view.valid = view.copiedRecords <= len(loaded.head.records)
	view.confirmedAt = now
}

// commit takes in a head that was written.
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

// indexRecords indexes records in the order in which they were stored.
func (view *view) indexRecords(segment int64, records []Record) {
	for _, record := range records {
		view.index[record.ID] = indexEntry{record: record, segment: segment}
		if record.Time.After(view.latest[segment]) {
			view.latest[segment] = record.Time
		}
	}
}

// evictBefore drops what only segments below first hold.
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

// firstUnexpired returns the first segment with a record younger than retention.
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

// recordOverheadBytes is what a record takes besides attempt and answer.
const recordOverheadBytes = 2*hashBytes + 24

func recordsBytes(records []Record) int {
	total := 0
	for _, record := range records {
		total += record.bytes()
	}
	return total
}

// bytes is an upper estimate of the record's stored size.
func (record Record) bytes() int {
	bytes := recordOverheadBytes + len(record.Attempt)
	if record.Answer != nil {
		bytes += record.Answer.bytes()
	}
	return bytes
}
