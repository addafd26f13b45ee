package ready

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// TickPeriod is the interval of calls of [Judge.Tick].
	TickPeriod = 100 * time.Millisecond
	// weakCores is the share of a core below which an instance is underpowered. Instances
	// have 0.109 to 0.8 of a core.
	weakCores = 0.25
	// lateDelay is the delay of a tick that counts. A process with a tenth of a core is
	// suspended for up to 90 ms of each 100 ms also when it keeps up.
	lateDelay = 200 * time.Millisecond
	// maxDelay is the most of a delay that counts, so that a process that was frozen for
	// seconds does not count as one that cannot keep up.
	maxDelay = time.Second
	// window is the time over which delays are summed. The instance can't keep up if they
	// are lateRatio of it in at least minLateTicks ticks.
	window       = 5 * time.Second
	lateRatio    = 0.5
	minLateTicks = 5
	// pauseTime is how long the instance is not ready. The balancer polls each second and
	// takes it out after two misses.
	pauseTime = 3 * time.Second
	// slotCount is the number of slots of pauseTime, one of which each instance has for its
	// pauses. An instance is thus not ready for at most a sixteenth of the time, half of what
	// is allowed, and about a sixteenth of a zone at once.
	slotCount = 16
	// minGap is the least time between the ends of a pause and the beginning of the next one,
	// whatever the wall clock does.
	minGap = (slotCount - 2) * pauseTime
	// settleTime is how long after its start an instance does not pause: its first seconds
	// are slow.
	settleTime = 20 * time.Second
	// minEntries is the least number of entries of a fleet whose entries pause. In a smaller
	// one a zone may have two, one of which is half.
	minEntries = 12
)

// JudgeConfig configures a [Judge].
type JudgeConfig struct {
	// Enabled reports whether the deployment asks for pauses. Otherwise there are none.
	Enabled bool
	// Instance is the name of the instance, which selects its slot.
	Instance string
	// Cores is the instance's share of a core; zero means unknown.
	Cores     float64
	StartedAt time.Time
}

// Judge decides whether one instance is ready as far as its load is concerned. It is safe for
// concurrent use.
type Judge struct {
	config JudgeConfig
	slot   int64
	// mutex guards the fields below.
	mutex sync.Mutex
	// tickedAt is the time of the last tick, delays are those of the window.
	tickedAt time.Time
	delays   []delay
	// pausedAt is when the last pause began; zero means never.
	pausedAt time.Time
}

// delay is how much later than expected a tick came.
type delay struct {
	at     time.Time
	length time.Duration
}

// NewJudge returns a judge of an instance that is ready.
func NewJudge(config JudgeConfig) *Judge {
	return &Judge{config: config, slot: int64(xxhash.Sum64String(config.Instance) % slotCount)}
}

// Tick is what is known when a timer of TickPeriod has fired.
type Tick struct {
	Now time.Time
	// Wall is the wall clock, by which instances divide the time into slots.
	Wall time.Time
	// Entries is the number of entries of the fleet; zero means unknown.
	Entries int
	// Busy reports whether requests are in progress.
	Busy bool
}

// Tick records that a timer has fired and reports whether a pause begins.
func (judge *Judge) Tick(tick Tick) bool {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	now := tick.Now
	late := now.Sub(judge.tickedAt) - TickPeriod
	if judge.tickedAt.IsZero() {
		late = 0
	}
	judge.tickedAt = now
	for len(judge.delays) > 0 && now.Sub(judge.delays[0].at) > window {
		judge.delays = judge.delays[1:]
	}
	if late >= lateDelay {
		judge.delays = append(judge.delays, delay{at: now, length: min(late, maxDelay)})
	}
	if !judge.config.Enabled || !tick.Busy || tick.Entries < minEntries || !judge.weak() || !judge.mayPause(tick) || !judge.late() {
		return false
	}
	judge.pausedAt, judge.delays = now, nil
	return true
}

// Ready reports whether the instance is not paused.
func (judge *Judge) Ready(now time.Time) bool {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	return judge.pausedAt.IsZero() || now.Sub(judge.pausedAt) >= pauseTime
}

func (judge *Judge) weak() bool { return judge.config.Cores > 0 && judge.config.Cores < weakCores }

// mayPause reports whether a pause may begin: in the first half of the instance's slot of the
// wall clock, and long enough after the last pause by the monotonic clock.
func (judge *Judge) mayPause(tick Tick) bool {
	now := tick.Now
	if now.Sub(judge.config.StartedAt) < settleTime || (!judge.pausedAt.IsZero() && now.Sub(judge.pausedAt) < pauseTime+minGap) {
		return false
	}
	cycle := tick.Wall.UnixMilli() % (slotCount * pauseTime.Milliseconds())
	begun := cycle - judge.slot*pauseTime.Milliseconds()
	return begun >= 0 && begun < pauseTime.Milliseconds()/2
}

// late reports whether the delays of the window show that the instance can't keep up.
func (judge *Judge) late() bool {
	sum := time.Duration(0)
	for _, delay := range judge.delays {
		sum += delay.length
	}
	return len(judge.delays) >= minLateTicks && sum >= time.Duration(lateRatio*float64(window))
}
