package entry

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/poison"
)

// TestRequestIsConfined counts the servers that are tried for a request that
// might crash engines, depending on how the first attempts fail.
func TestRequestIsConfined(t *testing.T) {
	loading := &call.Refusal{Code: call.CodeLoading, Outcome: call.NotRun{}}
	overloaded := &call.Refusal{Code: call.CodeOverloaded, Outcome: call.NotRun{}}
	broken := &call.Refusal{Code: call.CodeBroken, Outcome: call.Unknown{}}
	wholeAnswer := script{count: pieceCount, ended: true}
	tables := []struct {
		title   string
		first   script
		crashed bool
		reached int
		whole   bool
	}{
		{"overloaded servers pass it on", script{refusal: overloaded}, false, 4, true},
		{"servers that load the model pass it on", script{refusal: loading}, false, 4, true},
		{"but not where a crash speaks against it", script{refusal: loading}, true, 2, false},
		{"broken attempts do not", script{refusal: broken}, false, 2, false},
		{"nor servers that cannot be reached", script{unreachable: true}, false, 2, false},
	}
	for _, table := range tables {
		t.Run(table.title, func(t *testing.T) {
			agents := &scriptedAgent{scripts: []script{table.first, table.first, table.first, wholeAnswer}}
			fingerprint := poison.NewFingerprint("a", "m", []byte("p"))
			crashes := poison.NewSharedTracker(poison.SharedTrackerConfig{Clock: clock.NewService(clock.ServiceConfig{})})
			if table.crashed {
				crashes.Merge(poison.Snapshot{Crashes: []poison.Crash{{
					ID: poison.CrashID{Server: "server-9", Boot: "b"}, At: time.Now(),
					Running: []poison.Fingerprint{fingerprint, poison.NewFingerprint("b", "m", nil)},
				}}})
			}
			dispatcher := testDispatcher(agents, len(agents.scripts))
			dispatcher.confinement = newConfinement(crashes, newPermissiveRouter(len(agents.scripts)).plan)
			job := testJob(true)
			job.fingerprint = &fingerprint
			_, err := dispatcher.run(context.Background(), job, &textSink{})
			if agents.attemptsMade != table.reached || (err == nil) != table.whole {
				t.Errorf("reached %d servers and ended with %v", agents.attemptsMade, err)
			}
		})
	}
}

// TestEveryEntryConfinesAlike checks that the selected servers do not depend on
// the order of the plan.
func TestEveryEntryConfinesAlike(t *testing.T) {
	plan := newPermissiveRouter(9).plan
	reversed := slices.Clone(plan)
	slices.Reverse(reversed)
	for number := range 50 {
		fingerprint := poison.NewFingerprint(names.ClientAccount("a"), "m", []byte{byte(number)})
		job := job{fingerprint: &fingerprint}
		one, other := newConfinement(nil, plan).allowedServers(job, nil), newConfinement(nil, reversed).allowedServers(job, nil)
		if !slices.Equal(one, other) || len(one) != poison.MaxServers {
			t.Fatalf("servers differ: %v with the plan, %v with the plan reversed", one, other)
		}
	}
}
