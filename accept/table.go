package accept

import (
	"container/list"
	"net"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/memory"
)

const (
	// acceptedRatio is the fraction of the descriptors that accepted connections use. The rest is
	// left for those to servers, to the platform's services and to other instances.
	acceptedRatio = 3.0 / 4
	// ownDescriptors is the number of descriptors of the runtime, the log and the listeners.
	ownDescriptors = 16
	// spareConnections is the number of connections that shared listeners leave to others, but at
	// most spareRatio of all.
	spareConnections = 32
	spareRatio       = 1.0 / 8
	// admitPause is the longest pause between two attempts to admit a connection while others make
	// way, of which there are maxAttempts.
	admitPause  = 5 * time.Millisecond
	maxAttempts = 100
	// maxMakingWay bounds the connections that make way at the same time.
	maxMakingWay = 8
	// minStall is the time after which a connection whose peer reads nothing makes way, maxStall that
	// after which it is closed in any case, as is one whose body does not arrive.
	minStall = 2 * time.Second
	maxStall = 30 * time.Second
)

// TableConfig holds the settings and dependencies of a [Table].
type TableConfig struct {
	Memory *memory.Budget
	// Descriptors is the number of descriptors that connections may use; zero means no bound but
	// that of the operating system.
	Descriptors int
	Clock       *clock.Service
	Metrics     metrics.Registry
	Log         logrus.FieldLogger
}

// Table tracks the accepted connections of a process.
type Table struct {
	config TableConfig
	// freed receives a value when a connection has been closed.
	freed chan struct{}
	// mutex guards the fields below. It is taken before that of a connection.
	mutex sync.Mutex
	// lists holds all connections by phase. In each, those come first that have gone longest
	// without progress. Connections without a whole request make way in this order.
	lists [phaseWhole + 1]*list.List
	// opaque are the opaque connections.
	opaque map[path]*Conn
	// makingWay is the number of connections that were told to make way and are still open.
	makingWay int
	// max is the greatest number of connections.
	max int
	// counts are the refusals since the last sweep.
	counts refusalCounts
}

// refusalCounts are numbers of refusals.
type refusalCounts struct {
	// evicted counts connections that made way, refused those that were not admitted, and heads
	// those heads that were not passed on.
	evicted, refused, heads int64
}

// idlePeriod is since when a connection has been waiting for a request, and the limit at that time.
type idlePeriod struct {
	since time.Time
	limit time.Duration
	// unused reports whether the connection has had no request yet. The limit for idle connections
	// is not meant for such connections.
	unused bool
}

// stall is the sweep at which a connection was first found without progress, or zero, and the number
// of its writes then.
type stall struct {
	since  time.Time
	writes int64
}

// extend records that a sweep has found no progress, and returns for how long there has been none.
func (stall *stall) extend(now time.Time) time.Duration {
	if stall.since.IsZero() {
		stall.since = now
	}
	return now.Sub(stall.since)
}

// NewTable returns a table without connections.
func NewTable(config TableConfig) *Table {
	table := &Table{config: config, freed: make(chan struct{}, 1), opaque: map[path]*Conn{}}
	for phase := range table.lists {
		table.lists[phase] = list.New()
	}
	table.max = table.maxConnections()
	metrics.NewRegisteredFunctionalGauge("connections.open", config.Metrics, func() int64 { return int64(table.open()) })
	metrics.NewRegisteredFunctionalGauge("connections.limit", config.Metrics, func() int64 {
		table.mutex.Lock()
		defer table.mutex.Unlock()
		return int64(table.max)
	})
	return table
}

// maxConnections returns the greatest number of connections that the descriptors allow. The limit of
// the operating system may change while the process runs.
func (table *Table) maxConnections() int {
	descriptors := table.config.Descriptors
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil && limit.Cur < 1<<31 {
		own := max(int(limit.Cur)-ownDescriptors, 1)
		if descriptors <= 0 || own < descriptors {
			descriptors = own
		}
	}
	return int(acceptedRatio * float64(descriptors))
}

// open returns the number of open connections.
func (table *Table) open() int {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return table.count()
}

// count is called with the mutex held.
func (table *Table) count() int {
	count := 0
	for _, conns := range table.lists {
		count += conns.Len()
	}
	return count
}

// admit reports whether a connection may be used. If there is no room, others make way.
func (table *Table) admit(conn *Conn) bool {
	for attempt := 0; ; attempt++ {
		admitted, refused := table.tryAdmit(conn)
		if admitted {
			return true
		}
		if refused || !table.makeRoom(nil) || attempt >= maxAttempts {
			table.mutex.Lock()
			defer table.mutex.Unlock()
			table.counts.refused++
			return false
		}
		table.awaitFreed()
	}
}

// awaitFreed waits for a moment for a connection to be closed.
func (table *Table) awaitFreed() {
	timer := time.NewTimer(admitPause)
	defer timer.Stop()
	select {
	case <-table.freed:
	case <-timer.C:
	}
}

// tryAdmit admits the connection if there is room. It reports whether the connection is refused in any
// case.
func (table *Table) tryAdmit(conn *Conn) (admitted, refused bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	spare := 0
	if conn.listener.config.Shared {
		spare = min(spareConnections, int(spareRatio*float64(table.max)))
	}
	allowed, room := conn.listener.allows(conn)
	if !allowed || !room || table.count() >= table.max-spare || !conn.account.TryHoldConnection(connectionBytes, int64(spare)*connectionBytes) {
		return false, !allowed
	}
	conn.phase = phaseHead
	conn.element = table.lists[phaseHead].PushBack(conn)
	conn.listener.add(conn)
	if conn.listener.config.Opaque {
		table.opaque[pathOf(conn.LocalAddr(), conn.RemoteAddr())] = conn
	}
	table.setIdle(conn, true)
	return true, false
}

// path is the addresses of both ends of a connection.
type path struct{ local, remote string }

func pathOf(local, remote net.Addr) path { return path{local: local.String(), remote: remote.String()} }

// callOverhead bounds what a call takes on a connection beyond its message.
const callOverhead = 1 << 10

// Touch records that a call with a message of some bytes has come on an opaque connection.
func (table *Table) Touch(local, remote net.Addr, bytes int64) {
	table.mutex.Lock()
	conn := table.opaque[pathOf(local, remote)]
	table.mutex.Unlock()
	if conn != nil {
		conn.finish(bytes + callOverhead)
		table.move(conn, phaseHead)
	}
}

// setIdle records that a connection waits for a request, for its first one if it is unused. It is
// called with the mutex held.
func (table *Table) setIdle(conn *Conn, unused bool) {
	now := table.config.Clock.Now()
	conn.progressAt = now
	conn.idle = idlePeriod{since: now, limit: conn.listener.limits.Load().IdleTimeout, unused: unused}
	conn.setIdle(true)
}

// makeRoom has the connection make way that has gone longest without a whole request. If all requests
// are whole, it closes a connection whose peer reads nothing. It returns false if no connection is
// about to be closed, so that there is nothing to wait for.
func (table *Table) makeRoom(except *Conn) bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if table.makingWay >= maxMakingWay {
		return true
	}
	head, body := evictable(table.lists[phaseHead].Front(), except), evictable(table.lists[phaseBody].Front(), except)
	// A connection that can't make way yet is about to be read from.
	found := table.makingWay > 0 || head != nil || body != nil
	for head != nil || body != nil {
		oldest := &head
		if head == nil || body != nil && body.progressAt.Before(head.progressAt) {
			oldest = &body
		}
		if (*oldest).evict() {
			(*oldest).makingWay = true
			table.makingWay++
			table.counts.evicted++
			return true
		}
		*oldest = evictable((*oldest).element.Next(), except)
	}
	return table.closeStalled() || found
}

// closeStalled closes a connection whose peer reads nothing, and reports whether there is one. It is
// called with the mutex held.
func (table *Table) closeStalled() bool {
	now := table.config.Clock.Now()
	for element := table.lists[phaseWhole].Front(); element != nil; element = element.Next() {
		conn, ok := element.Value.(*Conn)
		if ok && !conn.stall.since.IsZero() && now.Sub(conn.stall.since) >= minStall {
			conn.stall = stall{}
			table.counts.evicted++
			conn.reset()
			return true
		}
	}
	return false
}

// evictable returns the connection at an element, or the first one after it, that does not make way
// already and is not except.
func evictable(element *list.Element, except *Conn) *Conn {
	for ; element != nil; element = element.Next() {
		if conn, ok := element.Value.(*Conn); ok && conn != except && !conn.makingWay {
			return conn
		}
	}
	return nil
}

// reclaimDescriptors is called when the process has no descriptor left for a connection.
func (table *Table) reclaimDescriptors() {
	limit := table.maxConnections()
	table.mutex.Lock()
	table.max = limit
	table.mutex.Unlock()
	table.makeRoom(nil)
	table.awaitFreed()
}

// holdHead holds bytes for a connection's head, and reports whether the memory allows it. Others make
// way for a small one.
func (table *Table) holdHead(conn *Conn, bytes int64) bool {
	for attempt := 0; !conn.account.TryHoldHead(bytes); attempt++ {
		if bytes > memory.SmallHeadBytes || attempt >= maxAttempts || !table.makeRoom(conn) {
			return false
		}
		table.awaitFreed()
	}
	return true
}

// move records progress of a connection's request.
func (table *Table) move(conn *Conn, phase phase) {
	now := table.config.Clock.Now()
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.moveLocked(conn, phase, now)
}

// moveLocked is called with the mutex held.
func (table *Table) moveLocked(conn *Conn, phase phase, now time.Time) {
	if conn.element == nil {
		return
	}
	table.endMakingWay(conn)
	conn.progressAt, conn.stall = now, stall{}
	table.lists[conn.phase].Remove(conn.element)
	conn.element = table.lists[phase].PushBack(conn)
	conn.phase = phase
}

// endMakingWay is called with the mutex held.
func (table *Table) endMakingWay(conn *Conn) {
	if conn.makingWay {
		conn.makingWay = false
		table.makingWay--
	}
}

// idle records that a connection waits for its next request.
func (table *Table) idle(conn *Conn) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.moveLocked(conn, phaseHead, table.config.Clock.Now())
	table.setIdle(conn, false)
}

// remove ends what is held for a connection that has been closed.
func (table *Table) remove(conn *Conn) {
	table.mutex.Lock()
	if conn.element != nil {
		table.endMakingWay(conn)
		table.lists[conn.phase].Remove(conn.element)
		conn.element = nil
		conn.listener.remove(conn)
		if conn.listener.config.Opaque {
			delete(table.opaque, pathOf(conn.LocalAddr(), conn.RemoteAddr()))
		}
	}
	table.mutex.Unlock()
	conn.account.Close(table.config.Clock.Now())
	select {
	case table.freed <- struct{}{}:
	default:
	}
}

// countRefusal counts a head that is not passed on.
func (table *Table) countRefusal() {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.counts.heads++
}

// Sweep ends connections that exceed the limits of time, and logs refusals. It is to be called about
// once a second.
func (table *Table) Sweep(now time.Time) {
	limit := table.maxConnections()
	table.mutex.Lock()
	table.max = limit
	for _, conns := range table.lists {
		for element := conns.Front(); element != nil; element = element.Next() {
			if conn, ok := element.Value.(*Conn); ok && !conn.listener.config.Opaque {
				conn.sweep(now)
			}
		}
	}
	counts, open := table.counts, table.count()
	table.counts = refusalCounts{}
	table.mutex.Unlock()
	if counts.evicted+counts.refused+counts.heads > 0 {
		event.ConnectionsRefused.Log(table.config.Log, logrus.Fields{
			"evicted": counts.evicted, "refused": counts.refused, "heads": counts.heads, "open": open, "limit": limit,
			"connectionBytes": table.config.Memory.Held(memory.Connection), "headBytes": table.config.Memory.Held(memory.Head),
		})
	}
	metrics.GetOrRegisterCounter("connections.evicted", table.config.Metrics).Inc(counts.evicted)
	metrics.GetOrRegisterCounter("connections.refused", table.config.Metrics).Inc(counts.refused)
	metrics.GetOrRegisterCounter("connections.headsRefused", table.config.Metrics).Inc(counts.heads)
}

// sweep ends the connection if it exceeds a limit of time. It is called with the mutex of the table
// held.
func (conn *Conn) sweep(now time.Time) {
	conn.mutex.Lock()
	empty, blocked := conn.empty, conn.writing && conn.writes == conn.stall.writes
	conn.stall.writes = conn.writes
	conn.mutex.Unlock()
	limits := conn.listener.limits.Load()
	switch {
	case conn.phase == phaseHead && empty:
		conn.stall.since = time.Time{}
		limit := max(limits.IdleTimeout, conn.idle.limit)
		if !conn.idle.unused && limits.IdleTimeout > 0 && now.Sub(conn.idle.since) > limit {
			conn.closeIdle()
		}
	case conn.phase == phaseHead:
		if conn.stall.extend(now) > limits.HeadTimeout {
			conn.endLate()
		}
	case conn.phase == phaseBody:
		if conn.stall.extend(now) > maxStall {
			conn.endLate()
		}
	case !blocked:
		conn.stall.since = time.Time{}
	case conn.stall.extend(now) > maxStall:
		conn.reset()
	}
}
