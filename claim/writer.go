package claim

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/store"
)

// WriterConfig carries what a [Writer] is built from. A zero field means the
// value given beside it.
type WriterConfig struct {
	// Shard is the number of the shard.
	Shard int
	// Interval is the least mean time between two writes; none. A few may come
	// at once after a pause.
	Interval time.Duration
	// SealBytes is the size from which a head is sealed; 16 KB.
	SealBytes int
	// MaxSegments bounds the sealed segments of a shard; 1024.
	MaxSegments int64
	// Retention is how long a claim is kept after its last change; 25 hours.
	Retention time.Duration
	// MaxQueue bounds the operations that wait; 1024.
	MaxQueue int
	// Cooldown is how long operations are refused after the service failed;
	// one second. It doubles with each further failure, to eight times that.
	Cooldown time.Duration
	// MaxViewAge is how old a view may be on which a claim is denied; one second.
	MaxViewAge time.Duration
}

const (
	defaultSealBytes   = 16 << 10
	defaultMaxSegments = 1024
	defaultRetention   = 25 * time.Hour
	defaultMaxQueue    = 1024
	defaultCooldown    = time.Second
	defaultFreshness   = time.Second

	// maxCooldownDoublings bounds the growth of the cooldown.
	maxCooldownDoublings = 3

	// maxMisfits is how many loads in a row may not fit together.
	maxMisfits = 5

	// writeBurst is how many writes may come at once after a pause.
	writeBurst = 4

	// maxBatch bounds the records that one write adds.
	maxBatch = 256
	// maxHeadBytes bounds a head that can't be sealed; with a whole batch it
	// stays under the size of a value.
	maxHeadBytes = 400 << 10
)

func (config WriterConfig) withDefaults() WriterConfig {
	if config.SealBytes <= 0 {
		config.SealBytes = defaultSealBytes
	}
	if config.MaxSegments <= 0 {
		config.MaxSegments = defaultMaxSegments
	}
	if config.Retention <= 0 {
		config.Retention = defaultRetention
	}
	if config.MaxQueue <= 0 {
		config.MaxQueue = defaultMaxQueue
	}
	if config.Cooldown <= 0 {
		config.Cooldown = defaultCooldown
	}
	if config.MaxViewAge <= 0 {
		config.MaxViewAge = defaultFreshness
	}
	return config
}

// phase is what a writer waits for.
type phase int

const (
	phaseIdle phase = iota
	phaseLoading
	phaseSealing
	phaseWriting
)

// waiting is an operation without a reply.
type waiting struct {
	call      OperationID
	operation Operation
	// maybe tells that a write of unknown fate holds the operation.
	maybe bool
}

// Writer decides what is written to one shard. It does no I/O: it takes an
// input and the time and returns actions. It is not safe for concurrent use.
type Writer struct {
	config WriterConfig
	phase  phase
	view   view
	queue  []waiting
	// flight holds the operations in the write under way, flightHead what the
	// head is after it, and flightDropped the keys that are then out of use.
	flight        []waiting
	flightHead    head
	flightDropped []string
	// paid is when the writes so far are paid for, one each interval.
	paid      time.Time
	coolUntil time.Time
	// failures counts the failures of the service since it last answered.
	failures int
	// misfits counts the loads since one that fitted together.
	misfits int
	wake    time.Time
	actions []Action
}

// NewWriter returns a writer that knows nothing of its shard yet.
func NewWriter(config WriterConfig) *Writer {
	return &Writer{config: config.withDefaults(), view: newView()}
}

// Step takes in one input and returns what to do, in order.
func (writer *Writer) Step(now time.Time, input Input) []Action {
	writer.actions = nil
	switch input := input.(type) {
	case Submit:
		writer.submit(now, input)
	case Loaded:
		writer.loaded(now, input)
	case LoadFailed:
		writer.phase = phaseIdle
		writer.fail(now)
	case Written:
		writer.written(now, input.Result)
	case Tick:
	}
	writer.advance(now)
	return writer.actions
}

// loaded takes in a load. One that does not fit together is tried again, as
// another writer may have come between its reads; if that goes on, the stored
// values are damaged.
func (writer *Writer) loaded(now time.Time, loaded Loaded) {
	writer.phase = phaseIdle
	writer.view.load(now, loaded)
	if writer.view.valid {
		writer.failures, writer.misfits = 0, 0
		return
	}
	writer.misfits++
	if writer.misfits > maxMisfits {
		writer.fail(now)
	}
}

// Idle tells that the writer waits for nothing and nothing waits for it.
func (writer *Writer) Idle() bool {
	return writer.phase == phaseIdle && len(writer.queue) == 0
}

func (writer *Writer) submit(now time.Time, submit Submit) {
	// After a failure one operation at a time tries the service.
	trying := writer.failures > 0 && !writer.Idle()
	if trying || now.Before(writer.coolUntil) || len(writer.queue) >= writer.config.MaxQueue {
		writer.answer(submit.ID, Failed{})
		return
	}
	writer.queue = append(writer.queue, waiting{call: submit.ID, operation: submit.Operation})
}

// written takes in the result of the write under way.
func (writer *Writer) written(now time.Time, writeResult WriteResult) {
	sealing := writer.phase == phaseSealing
	writer.phase = phaseIdle
	switch result := writeResult.(type) {
	case Applied:
		writer.failures = 0
		if sealing {
			writer.view.copied = len(writer.view.head.records)
			return
		}
		writer.view.commit(now, result.Revision, writer.flightHead)
		writer.settle()
	case Conflict:
		writer.failures = 0
		writer.reread(false)
	case Uncertain:
		writer.reread(!sealing)
	case NotApplied:
		writer.fail(now)
	}
}

// settle answers the operations whose records were written, and drops the
// segments that the new head leaves out.
func (writer *Writer) settle() {
	for _, each := range writer.flight {
		if _, begin := each.operation.(Begin); begin {
			writer.answer(each.call, Granted{})
		} else {
			writer.answer(each.call, Acknowledged{})
		}
	}
	writer.flight = nil
	if len(writer.flightDropped) > 0 {
		writer.act(Delete{Keys: writer.flightDropped})
	}
}

// reread gives up the view, so that the operations of the write are decided
// again on what is stored.
func (writer *Writer) reread(maybe bool) {
	for i := range writer.flight {
		writer.flight[i].maybe = writer.flight[i].maybe || maybe
	}
	writer.queue = append(writer.flight, writer.queue...)
	writer.flight = nil
	writer.view.valid = false
}

// fail answers all that waits and refuses for a while.
func (writer *Writer) fail(now time.Time) {
	for _, each := range append(writer.flight, writer.queue...) {
		writer.answer(each.call, Failed{MayApply: each.maybe})
	}
	writer.flight, writer.queue = nil, nil
	writer.coolUntil = now.Add(writer.config.Cooldown << min(writer.failures, maxCooldownDoublings))
	writer.failures++
}

// advance starts the next load or write where one is needed.
func (writer *Writer) advance(now time.Time) {
	if writer.phase != phaseIdle || len(writer.queue) == 0 {
		return
	}
	if !writer.view.valid || !writer.answerKnown(now) {
		writer.phase = phaseLoading
		writer.act(Load{From: writer.view.from()})
		return
	}
	if len(writer.queue) == 0 || writer.pace(now) {
		return
	}
	if writer.shouldSeal(now) {
		writer.seal(now)
		return
	}
	writer.write(now)
}

// answerKnown answers the operations that need no write. It tells false where
// the view is too old for one of them.
func (writer *Writer) answerKnown(now time.Time) bool {
	fresh := now.Sub(writer.view.confirmed) <= writer.config.MaxViewAge
	kept := writer.queue[:0]
	stale := false
	for _, each := range writer.queue {
		reply := writer.known(now, each.operation)
		_, denied := reply.(Denied)
		switch {
		case reply == nil:
			kept = append(kept, each)
		case denied && !fresh:
			stale = true
			kept = append(kept, each)
		default:
			writer.answer(each.call, reply)
		}
	}
	writer.queue = kept
	return !stale
}

// known returns the reply to an operation that needs no write, or nil.
func (writer *Writer) known(now time.Time, operation Operation) Reply {
	record, held := writer.view.lookUp(operation.Target().id)
	decision := decide(now, record, held, operation)
	if decision.reply != nil {
		return decision.reply
	}
	_, begin := operation.(Begin)
	switch {
	case begin && writer.full(now):
		return Denied{Refusal: &call.Refusal{
			Code:       call.CodeUnavailable,
			Message:    "no room for more idempotency keys",
			Outcome:    call.NotRun{},
			RetryAfter: retryFull,
		}}
	case writer.view.headBytes >= maxHeadBytes:
		return Failed{}
	default:
		return nil
	}
}

// pace tells that the next write has to wait, and asks to be woken.
func (writer *Writer) pace(now time.Time) bool {
	due := writer.paid.Add(-(writeBurst - 1) * writer.config.Interval)
	if !now.Before(due) {
		return false
	}
	if !writer.wake.Equal(due) {
		writer.wake = due
		writer.act(Wake{At: due})
	}
	return true
}

// pay counts a write against the interval.
func (writer *Writer) pay(now time.Time) {
	if writer.paid.Before(now) {
		writer.paid = now
	}
	writer.paid = writer.paid.Add(writer.config.Interval)
}

// headSealable tells that the head has reached its size and no copy exists.
func (writer *Writer) headSealable() bool {
	return writer.view.copied == 0 && writer.view.headBytes >= writer.config.SealBytes
}

func (writer *Writer) roomForSegment(now time.Time) bool {
	first := writer.view.expired(now, writer.config.Retention)
	return writer.view.head.sealed-first < writer.config.MaxSegments
}

func (writer *Writer) full(now time.Time) bool {
	return writer.headSealable() && !writer.roomForSegment(now)
}

func (writer *Writer) shouldSeal(now time.Time) bool {
	return writer.headSealable() && writer.roomForSegment(now)
}

// seal copies the head into a segment. The next head leaves those records out.
func (writer *Writer) seal(now time.Time) {
	value, err := encodeSegment(writer.view.head.records)
	if err != nil {
		writer.fail(now)
		return
	}
	writer.phase = phaseSealing
	writer.pay(now)
	key := segmentKey(writer.config.Shard, writer.view.head.sealed)
	writer.act(Write{Swap: store.Swap{Key: key, Value: value}})
}

// write puts a batch of what waits into one swap of the head.
func (writer *Writer) write(now time.Time) {
	next, dropped := writer.nextHead(now)
	batch, later := writer.batch(now, &next)
	value, err := encodeHead(next)
	if err != nil {
		writer.fail(now)
		return
	}
	writer.queue, writer.flight = later, batch
	writer.flightHead, writer.flightDropped = next, dropped
	writer.phase = phaseWriting
	writer.pay(now)
	key := headKey(writer.config.Shard)
	writer.act(Write{Swap: store.Swap{Key: key, Expected: writer.view.revision, Value: value}})
}

// nextHead is the head without the records that a segment holds already and
// without the segments that are over; it also names the keys of the latter.
func (writer *Writer) nextHead(now time.Time) (head, []string) {
	view := &writer.view
	next := head{first: view.expired(now, writer.config.Retention), sealed: view.head.sealed}
	if view.copied > 0 {
		next.sealed++
	}
	next.records = append(next.records, view.head.records[view.copied:]...)
	var dropped []string
	for number := view.head.first; number < next.first; number++ {
		dropped = append(dropped, segmentKey(writer.config.Shard, number))
	}
	return next, dropped
}

// batch adds to head one record for each claim that waits, up to the bound,
// and splits the queue into what the write holds and what comes later.
func (writer *Writer) batch(now time.Time, head *head) (batch, later []waiting) {
	taken := map[ID]bool{}
	for _, each := range writer.queue {
		id := each.operation.Target().id
		record, held := writer.view.lookUp(id)
		write := decide(now, record, held, each.operation).write
		if write == nil || taken[id] || len(batch) == maxBatch {
			later = append(later, each)
			continue
		}
		taken[id] = true
		head.records = append(head.records, *write)
		batch = append(batch, each)
	}
	return batch, later
}

func (writer *Writer) answer(call OperationID, reply Reply) {
	writer.act(Respond{ID: call, Reply: reply})
}

func (writer *Writer) act(action Action) { writer.actions = append(writer.actions, action) }
