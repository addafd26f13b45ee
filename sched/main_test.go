package sched_test

import (
	"os"
	"testing"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/proof"
	"github.com/basilkeel/basilkeel/sched"
)

func TestMain(m *testing.M) { os.Exit(proof.Main(m)) }

const (
	service = names.Service("notes")
	model   = names.Model("m")
)

var epoch = time.Unix(1_800_000_000, 0)

func at(offset time.Duration) time.Time { return epoch.Add(offset) }

// config returns the configuration of a service whose objectives are 0.4 s and 5 s.
func config() sched.Config {
	return sched.Config{
		DeferFrom: 4 * time.Second, GapObjective: 250 * time.Millisecond, Priorities: []int{2, 0, 1}, CacheTokens: 100_000, EventTokens: 7,
		AccountRate: func(names.ClientAccount) float64 { return 0 }, Random: func() float64 { return 0.5 },
	}
}

func engine(id names.BackendServer, models ...names.Model) sched.Engine {
	return sched.Engine{Models: models, Server: &pool.Server{ID: id, Service: service, Address: "10.0.0.1:80", Domain: "a", Slots: 48, Incarnation: 1, Models: models}}
}

func newScheduler(config sched.Config, engines ...sched.Engine) *sched.Scheduler {
	scheduler := sched.New(config)
	scheduler.SetEngines(engines)
	return scheduler
}

// request returns an urgent request of 700 prompt tokens.
func request() sched.Request {
	return sched.Request{
		Instance: "edge-1", Domain: "a", Model: model, PromptTokens: 700, OutputTokens: 300, Tokens: 1000,
		Objective: 400 * time.Millisecond, Left: 20 * time.Second,
	}
}
