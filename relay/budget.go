package relay

import (
	"sync"
	"time"

	"github.com/basilkeel/basilkeel/names"
)

const (
	// budgetPart is the part of the deployment's retry ratio that is used; the rest
	// is left for what windows cut unevenly.
	budgetPart = 0.6
	// slackShare is this entry's part of the deployment's slack. Entries do not
	// know how many there are; two dozen are the most in the deployments known.
	slackShare = 1.0 / 24
)

// budget bounds requests that are sent again, for each service, so that all
// entries together keep the deployment's bound: each earns in proportion to its
// own requests.
type budget struct {
	ratio  float64
	slack  float64
	window time.Duration
	// mutex guards levels.
	mutex  sync.Mutex
	levels map[names.Service]*budgetLevel
}

type budgetLevel struct {
	tokens float64
	at     time.Time
}

func newBudget(ratio, slack float64, window time.Duration) *budget {
	return &budget{ratio: ratio * budgetPart, slack: max(slack*slackShare, 1), window: window, levels: map[names.Service]*budgetLevel{}}
}

// earn counts a first attempt.
func (budget *budget) earn(service names.Service, now time.Time) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	level := budget.level(service, now)
	level.tokens = min(level.tokens+budget.ratio, budget.most())
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

// level is called with the mutex held. The slack comes back once a window.
func (budget *budget) level(service names.Service, now time.Time) *budgetLevel {
	level, found := budget.levels[service]
	if !found {
		level = &budgetLevel{tokens: budget.slack, at: now}
		budget.levels[service] = level
		return level
	}
	level.tokens = min(level.tokens+now.Sub(level.at).Seconds()/budget.window.Seconds()*budget.slack, budget.most())
	level.at = now
	return level
}

// most is what a quiet time may save up: the slack, and as much for retries that
// come together.
func (budget *budget) most() float64 { return 2*budget.slack + 4 }
