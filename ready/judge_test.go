package ready_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/ready"
)

var start = time.Unix(1_700_000_000, 0)

// observe has a judge observe ticks for some time; gap returns the time to the next one. The
// wall clock stands still if tick gives one. It returns the number of pauses and the part of the time in which the instance is not ready.
func observe(judge *ready.Judge, duration time.Duration, tick ready.Tick, gap func(now time.Time) time.Duration) (int, float64) {
	pauses, polls, unready := 0, 0, 0
	now, polledAt := start, start
	jumping := !tick.Wall.IsZero()
	for now.Before(start.Add(duration)) {
		tick.Now = now
		if !jumping {
			tick.Wall = now
		}
		if judge.Tick(tick) {
			pauses++
		}
		for ; polledAt.Before(now); polledAt = polledAt.Add(100 * time.Millisecond) {
			polls++
			if !judge.Ready(polledAt) {
				unready++
			}
		}
		now = now.Add(gap(now))
	}
	return pauses, float64(unready) / float64(polls)
}

// TestOnlyOverloadedWeakInstancesPause guards against instances that leave the rotation without
// need, and against weak ones that stay in it all the time.
func TestOnlyOverloadedWeakInstancesPause(t *testing.T) {
	const long = 10 * time.Minute
	always := func(gap time.Duration) func(time.Time) time.Duration {
		return func(time.Time) time.Duration { return gap }
	}
	cases := []struct {
		name    string
		off     bool
		cores   float64
		entries int
		busy    bool
		gap     func(now time.Time) time.Duration
		pauses  bool
	}{
		{name: "weak and overloaded", cores: 0.109, entries: 24, busy: true, gap: always(600 * time.Millisecond), pauses: true},
		{name: "not enabled", off: true, cores: 0.109, entries: 24, busy: true, gap: always(600 * time.Millisecond)},
		{name: "weak, keeps up", cores: 0.109, entries: 24, busy: true, gap: always(190 * time.Millisecond)},
		{name: "strong", cores: 0.3, entries: 24, busy: true, gap: always(600 * time.Millisecond)},
		{name: "of unknown strength", entries: 24, busy: true, gap: always(600 * time.Millisecond)},
		{name: "without requests", cores: 0.109, entries: 24, gap: always(600 * time.Millisecond)},
		{name: "in a small fleet", cores: 0.109, entries: 6, busy: true, gap: always(600 * time.Millisecond)},
		{name: "in a fleet of unknown size", cores: 0.109, busy: true, gap: always(600 * time.Millisecond)},
		{name: "frozen now and then", cores: 0.109, entries: 24, busy: true, gap: func(now time.Time) time.Duration {
			if now.Unix()%10 == 0 {
				return 4 * time.Second
			}
			return 100 * time.Millisecond
		}},
	}
	for _, each := range cases {
		g := NewWithT(t)
		judge := ready.NewJudge(ready.JudgeConfig{Enabled: !each.off, Instance: "edge-1", Cores: each.cores, StartedAt: start})
		pauses, unready := observe(judge, long, ready.Tick{Entries: each.entries, Busy: each.busy}, each.gap)
		g.Expect(pauses > 0).To(Equal(each.pauses), "%s: %d pauses", each.name, pauses)
		g.Expect(unready).To(BeNumerically("<", 1.0/12), "%s: an eighth is not allowed", each.name)
	}
}

// TestFleetDoesNotPauseAtOnce guards against a zone that loses half of its instances as all of
// them are overloaded.
func TestFleetDoesNotPauseAtOnce(t *testing.T) {
	for _, entries := range []int{22, 68, 400} {
		g := NewWithT(t)
		zones := [3]int{}
		judges := make([]*ready.Judge, entries)
		for index := range judges {
			judges[index] = ready.NewJudge(ready.JudgeConfig{Enabled: true, Instance: fmt.Sprintf("edge-%d", index), Cores: 0.109, StartedAt: start})
			zones[index%3]++
		}
		most := 0.0
		for now := start; now.Before(start.Add(5 * time.Minute)); now = now.Add(600 * time.Millisecond) {
			unready := [3]int{}
			for index, judge := range judges {
				judge.Tick(ready.Tick{Now: now, Wall: now, Entries: entries, Busy: true})
				if !judge.Ready(now) {
					unready[index%3]++
				}
			}
			for zone := range zones {
				most = max(most, float64(unready[zone])/float64(zones[zone]))
			}
		}
		g.Expect(most).To(And(BeNumerically(">", 0), BeNumerically("<", 0.5)), "%d entries", entries)
	}
}

// TestJumpsOfTheWallClockDoNotAddPauses guards against an instance that is not ready too often
// as its wall clock jumps back into its slot again and again.
func TestJumpsOfTheWallClockDoNotAddPauses(t *testing.T) {
	g := NewWithT(t)
	inSlot := 0
	for second := range 48 {
		judge := ready.NewJudge(ready.JudgeConfig{Enabled: true, Instance: "edge-1", Cores: 0.109, StartedAt: start})
		pauses, unready := observe(judge, 10*time.Minute, ready.Tick{Wall: start.Add(time.Duration(second) * time.Second), Entries: 24, Busy: true},
			func(time.Time) time.Duration { return 600 * time.Millisecond })
		if pauses > 0 {
			inSlot++
		}
		g.Expect(unready).To(BeNumerically("<", 1.0/12))
	}
	g.Expect(inSlot).To(BeNumerically(">", 0))
}
