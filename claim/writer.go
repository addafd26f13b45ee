package claim

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/store"
)

// WriterConfig configures a [Writer]. A zero field means the default that its
// comment gives.
type WriterConfig struct {
	// Shard is the number of the shard.
	Shard int
	// Interval is the minimum mean time between two writes; the default is none.
	// After a pause, a few writes may follow each other at once.
	Interval time.Duration
	// SealBytes is the size from which a head is sealed; the default is 16 KB.
	SealBytes int
	// MaxSegments bounds the sealed segments of a shard; the default is 1024.
	MaxSegments int64
	// Retention is how long a claim is kept after its last change; the default is
	// 25 hours.
	Retention time.Duration
	// MaxQueue bounds the operations that wait; the default is 1024.
	MaxQueue int
	// Cooldown is how long operations are refused after a failure of the
	// key-value service; the default is one second. It doubles with each further
	// failure, up to eight times that.
	Cooldown time.Duration
	// MaxViewAge is how old the view of the shard may be when a claim is denied;
	// the default is one second.
	MaxViewAge time.Duration
}

const (
	defaultSealBytes   = 16 << 10
	defaultMaxSegments = 1024
	defaultRetention   = 25 * time.Hour
	defaultMaxQueue    = 1024
	defaultCooldown    = time.Second
	defaultMaxViewAge  = time.Second

	// maxCooldownDoublings bounds the growth of the cooldown.
	maxCooldownDoublings = 3

	// maxInconsistentLoads is how many loads in a row may be inconsistent before
	// the shard counts as damaged.
	maxInconsistentLoads = 5

	// writeBurst is how many writes may come at once after a pause.
	writeBurst = 4

	// maxBatch bounds the records that one write adds.
	maxBatch = 256
	// maxHeadBytes is the size from which a head that can't be sealed takes no
	// more records. A head below it stays under [store.MaxValueBytes] also with a
	// whole batch added.
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
		config.MaxViewAge = defaultMaxViewAge
	}
	return config
}

// phase is the load or write that a writer waits for.
type phase int

const (
	phaseIdle phase = iota
	phaseLoading
	phaseSealing
	phaseWriting
)

// pendingOperation is an operation to which no reply was sent yet.
type pendingOperation struct {
	id        OperationID
	operation Operation
	// mayApply reports whether a write with an uncertain result includes the
	// operation.
	mayApply bool
}

// Writer decides what is written to one shard. It does no I/O: it takes an
// input and the time and returns actions. It is not safe for concurrent use.
type Writer struct {
	config WriterConfig
	phase  phase
	view   view
	queue  []pendingOperation
	// inFlight holds the operations that the write in progress includes,
	// inFlightHead the head that it writes, and obsoleteKeys the keys that are
	// no longer used after it.
	inFlight     []pendingOperation
	inFlightHead head
	obsoleteKeys []string
	// usedUntil is the end of the time that the writes so far use up, one
	// interval each. It may be up to writeBurst intervals in the future.
	usedUntil     time.Time
	cooldownUntil time.Time
	// failures counts the failures of the key-value service since it last
	// answered.
	failures int
	// inconsistentLoads counts the loads since the last consistent one.
	inconsistentLoads int
	wakeAt            time.Time
	actions           []Action
}

// NewWriter returns a writer that hasn't loaded its shard yet.
func NewWriter(config WriterConfig) *Writer {
	return &Writer{config: config.withDefaults(), view: newView()}
}

// Step handles one input and returns the actions to carry out, in order.
func (writer *Writer) Step(now time.Time, input Input) []Action {
	writer.actions = nil
	switch input := input.(type) {
	case Submit:
		writer.submit(now, input)
	case Loaded:
		writer.handleLoaded(now, input)
	case LoadFailed:
		writer.phase = phaseIdle
		writer.failAll(now)
	case Written:
		writer.handleWritten(now, input.Result)
	case Tick:
	}
	writer.advance(now)
	return writer.actions
}

// handleLoaded handles the result of a load. An inconsistent one is retried,
// since another writer may have written between its reads. Many in a row mean
// that the stored values are damaged.
func (writer *Writer) handleLoaded(now time.Time, loaded Loaded) {
	writer.phase = phaseIdle
	writer.view.applyLoaded(now, loaded)
	if writer.view.valid {
		writer.failures, writer.inconsistentLoads = 0, 0
		return
	}
	writer.inconsistentLoads++
	if writer.inconsistentLoads > maxInconsistentLoads {
		writer.failAll(now)
	}
}

// Idle reports whether no load or write is in progress and no operation waits.
func (writer *Writer) Idle() bool {
	return writer.phase == phaseIdle && len(writer.queue) == 0
}

func (writer *Writer) submit(now time.Time, submit Submit) {
	// After a failure of the key-value service, operations are tried one at a
	// time until it answers.
	probing := writer.failures > 0 && !writer.Idle()
	if probing || now.Before(writer.cooldownUntil) || len(writer.queue) >= writer.config.MaxQueue {
		writer.respond(submit.ID, Failed{})
		return
	}
	writer.queue = append(writer.queue, pendingOperation{id: submit.ID, operation: submit.Operation})
}

// handleWritten handles the result of the write in progress.
func (writer *Writer) handleWritten(now time.Time, writeResult WriteResult) {
	sealing := writer.phase == phaseSealing
	writer.phase = phaseIdle
	switch writeResult := writeResult.(type) {
	case Applied:
		writer.failures = 0
		if sealing {
			writer.view.copiedRecords = len(writer.view.head.records)
			return
		}
		writer.view.commit(now, writeResult.Revision, writer.inFlightHead)
		writer.completeWrite()
	case Conflict:
		writer.failures = 0
		writer.requeueInFlight(false)
	case Uncertain:
		writer.requeueInFlight(!sealing)
	case NotApplied:
		writer.failAll(now)
	}
}

// completeWrite replies to the operations whose records were written, and
// deletes the segments that the new head leaves out.
func (writer *Writer) completeWrite() {
	for _, pending := range writer.inFlight {
		if _, begin := pending.operation.(Begin); begin {
			writer.respond(pending.id, Granted{})
		} else {
			writer.respond(pending.id, Acknowledged{})
		}
	}
	writer.inFlight = nil
	if len(writer.obsoleteKeys) > 0 {
		writer.emit(DeleteKeys{Keys: writer.obsoleteKeys})
	}
}

// requeueInFlight invalidates the view and puts the operations of the write back
// into the queue, so that they are decided again on what is stored. mayApply
// reports whether the write may have taken effect.
func (writer *Writer) requeueInFlight(mayApply bool) {
	for i := range writer.inFlight {
		writer.inFlight[i].mayApply = writer.inFlight[i].mayApply || mayApply
	}
	writer.queue = append(writer.inFlight, writer.queue...)
	writer.inFlight = nil
	writer.view.valid = false
}

// failAll replies [Failed] to the operations of the write and of the queue, and
// starts a cooldown.
func (writer *Writer) failAll(now time.Time) {
	for _, pending := range append(writer.inFlight, writer.queue...) {
		writer.respond(pending.id, Failed{MayApply: pending.mayApply})
	}
	writer.inFlight, writer.queue = nil, nil
	writer.cooldownUntil = now.Add(writer.config.Cooldown << min(writer.failures, maxCooldownDoublings))
	writer.failures++
}

// advance replies to the operations that need no write, and starts the next load
// or write if one is needed.
func (writer *Writer) advance(now time.Time) {
	if writer.phase != phaseIdle || len(writer.queue) == 0 {
		return
	}
	if !writer.view.valid || !writer.respondWithoutWrite(now) {
		writer.phase = phaseLoading
		writer.emit(Load{From: writer.view.firstUnread()})
		return
	}
	if len(writer.queue) == 0 || writer.rateLimited(now) {
		return
	}
	if writer.shouldSeal(now) {
		writer.seal(now)
		return
	}
	writer.write(now)
}

// respondWithoutWrite replies to the operations that need no write. It returns
// false if the view is too old for one of the replies.
func (writer *Writer) respondWithoutWrite(now time.Time) bool {
	fresh := now.Sub(writer.view.confirmedAt) <= writer.config.MaxViewAge
	remaining := writer.queue[:0]
	stale := false
	for _, pending := range writer.queue {
		reply := writer.replyWithoutWrite(now, pending.operation)
		_, denied := reply.(Denied)
		switch {
		case reply == nil:
			remaining = append(remaining, pending)
		case denied && !fresh:
			stale = true
			remaining = append(remaining, pending)
		default:
			writer.respond(pending.id, reply)
		}
	}
	writer.queue = remaining
	return !stale
}

// replyWithoutWrite returns the reply to an operation that needs no write, or nil.
func (writer *Writer) replyWithoutWrite(now time.Time, operation Operation) Reply {
	record, found := writer.view.lookup(operation.Target().id)
	decision := decide(now, record, found, operation)
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
			RetryAfter: shardFullRetryAfter,
		}}
	case writer.view.headBytes >= maxHeadBytes:
		return Failed{}
	default:
		return nil
	}
}

// rateLimited reports whether the next write has to wait to keep to Interval. If
// so, it makes sure that a [Wake] for the time of that write was requested.
func (writer *Writer) rateLimited(now time.Time) bool {
	due := writer.usedUntil.Add(-(writeBurst - 1) * writer.config.Interval)
	if !now.Before(due) {
		return false
	}
	if !writer.wakeAt.Equal(due) {
		writer.wakeAt = due
		writer.emit(Wake{At: due})
	}
	return true
}

// chargeWrite adds one interval to usedUntil, for a write that starts.
func (writer *Writer) chargeWrite(now time.Time) {
	if writer.usedUntil.Before(now) {
		writer.usedUntil = now
	}
	writer.usedUntil = writer.usedUntil.Add(writer.config.Interval)
}

// headSealable reports whether the head has reached SealBytes and is not yet
// copied to a segment.
func (writer *Writer) headSealable() bool {
	return writer.view.copiedRecords == 0 && writer.view.headBytes >= writer.config.SealBytes
}

func (writer *Writer) roomForSegment(now time.Time) bool {
	first := writer.view.firstUnexpired(now, writer.config.Retention)
	return writer.view.head.sealed-first < writer.config.MaxSegments
}

func (writer *Writer) full(now time.Time) bool {
	return writer.headSealable() && !writer.roomForSegment(now)
}

func (writer *Writer) shouldSeal(now time.Time) bool {
	return writer.headSealable() && writer.roomForSegment(now)
}

// seal writes the records of the head to a new segment. The next head leaves them
// out.
func (writer *Writer) seal(now time.Time) {
	value, err := encodeSegment(writer.view.head.records)
	if err != nil {
		writer.failAll(now)
		return
	}
	writer.phase = phaseSealing
	writer.chargeWrite(now)
	key := segmentKey(writer.config.Shard, writer.view.head.sealed)
	writer.emit(Write{Swap: store.Swap{Key: key, Value: value}})
}

// write adds the records of a batch of operations to the head, in one swap.
func (writer *Writer) write(now time.Time) {
	next, obsolete := writer.nextHead(now)
	batch, later := writer.batch(now, &next)
	value, err := encodeHead(next)
	if err != nil {
		writer.failAll(now)
		return
	}
	writer.queue, writer.inFlight = later, batch
	writer.inFlightHead, writer.obsoleteKeys = next, obsolete
	writer.phase = phaseWriting
	writer.chargeWrite(now)
	key := headKey(writer.config.Shard)
	writer.emit(Write{Swap: store.Swap{Key: key, Expected: writer.view.revision, Value: value}})
}

// nextHead returns the head without the records that a segment already holds and
// without the expired segments, and the keys of the latter.
func (writer *Writer) nextHead(now time.Time) (head, []string) {
	view := &writer.view
	next := head{first: view.firstUnexpired(now, writer.config.Retention), sealed: view.head.sealed}
	if view.copiedRecords > 0 {
		next.sealed++
	}
	next.records = append(next.records, view.head.records[view.copiedRecords:]...)
	var obsolete []string
	for number := view.head.first; number < next.first; number++ {
		obsolete = append(obsolete, segmentKey(writer.config.Shard, number))
	}
	return next, obsolete
}

// batch adds to head one record for each claim with waiting operations, at most
// maxBatch, and splits the queue into the operations that the write includes and
// those for a later write.
func (writer *Writer) batch(now time.Time, head *head) (batch, later []pendingOperation) {
	batched := map[ID]bool{}
	for _, pending := range writer.queue {
		id := pending.operation.Target().id
		record, found := writer.view.lookup(id)
		write := decide(now, record, found, pending.operation).write
		if write == nil || batched[id] || len(batch) == maxBatch {
			later = append(later, pending)
			continue
		}
		batched[id] = true
		head.records = append(head.records, *write)
		batch = append(batch, pending)
	}
	return batch, later
}

func (writer *Writer) respond(id OperationID, reply Reply) {
	writer.emit(Respond{ID: id, Reply: reply})
}

func (writer *Writer) emit(action Action) { writer.actions = append(writer.actions, action) }
