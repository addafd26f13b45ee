package relay

import (
	"sync"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/rate"
)

const (
	// budgetPart is the part of the deployment's retry ratio that is used; the rest
	// is left for what windows cut unevenly.
	budgetPart = 0.6
	// slackPart is the part of the deployment's slack that all entries together use in
	// a window; as much again may be saved up before it.
	slackPart = 0.4
	// assumedEntries share the slack until a coordinator tells how many there are.
	assumedEntries = 24
	// firstPart is the part of its share of the slack that a process starts with, so that
	// entries that start again and again do not add up.
	firstPart = 0.5
	// savedPart is the part of a window for which the unused part of the ratio may be
	// saved up.
	savedPart = 0.5
)

// budget bounds requests that are sent again, for each service, so that all
// entries together keep the deployment's bound: each earns in proportion to its
// own requests, and has an equal share of the slack.
type budget struct {
	ratio  float64
	unused float64
	slack  float64
	window time.Duration
	// mutex guards all below.
	mutex   sync.Mutex
	entries int
	levels  map[names.Service]*budgetLevel
}

type budgetLevel struct {
	tokens   float64
	at       time.Time
	requests *rate.Meter
}

func newBudget(ratio, slack float64, window time.Duration) *budget {
	return &budget{
		ratio: ratio * budgetPart, unused: ratio * (1 - budgetPart), slack: slack * slackPart, window: window, entries: assumedEntries, levels: map[names.Service]*budgetLevel{},
	}
}

// among tells how many entries share the slack; zero leaves what was told before.
func (budget *budget) among(entries int) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if entries > 0 {
		budget.entries = entries
	}
}

// earn counts a first attempt.
func (budget *budget) earn(service names.Service, now time.Time) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	level := budget.level(service, now)
	level.requests.Add(1, now)
	level.tokens = min(level.tokens+budget.ratio, budget.most(level, now))
}

// spend tells whether a request may be sent again, and counts it.
func (budget *budget) spend(service names.Service, now time.Time) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	level := budget.level(service, now)
	if level.tokens < 1 {
		return false
	}
	level.tokens--
	return true
}

// level is called with the mutex held. The share of the slack comes back once a
// window.
func (budget *budget) level(service names.Service, now time.Time) *budgetLevel {
	level, found := budget.levels[service]
	if !found {
		level = &budgetLevel{tokens: max(firstPart*budget.share(), 1), at: now, requests: rate.NewMeter(budget.window / 4)}
		budget.levels[service] = level
		return level
	}
	level.tokens += now.Sub(level.at).Seconds() / budget.window.Seconds() * budget.share()
	level.tokens = min(level.tokens, budget.most(level, now))
	level.at = now
	return level
}

// share is this entry's part of the slack. It is called with the mutex held.
func (budget *budget) share() float64 { return budget.slack / float64(budget.entries) }

// most is what a quiet time may save up, for retries that come together. It is
// called with the mutex held.
func (budget *budget) most(level *budgetLevel, now time.Time) float64 {
	saved := budget.unused * level.requests.PerSecond(now) * savedPart * budget.window.Seconds()
	return max(budget.share(), 1) + saved
}
