package crash_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/crash"
)

// reachableTime is the time after its last answer for which an entry takes the coordinator for
// reachable.
const reachableTime = 1200 * time.Millisecond

// unconfirmed returns a suspicion that was found at a time after epoch and is not confirmed.
func unconfirmed(subject crash.Subject, server string, after time.Duration) crash.Suspicion {
	at := epoch.Add(after)
	return crash.Suspicion{Fingerprint: subject.Fingerprint, Part: subject.Part, Server: server, At: at, CountsAt: at.Add(confirmDelay + crash.UnconfirmedGrace)}
}

func withdrawn(subject crash.Subject, server string, after time.Duration) crash.Suspicion {
	suspicion := unconfirmed(subject, server, after)
	suspicion.Withdrawn = true
	return suspicion
}

// Guards against a suspicion that counts too early, never, or although it was withdrawn, in
// whatever order other entries report it.
func TestUnconfirmedSuspicionCountsUnlessWithdrawn(t *testing.T) {
	request := crash.Subject{Fingerprint: 7}
	first, second, third := unconfirmed(request, "i-1/1", 0), unconfirmed(request, "i-2/1", 0), unconfirmed(request, "i-3/1", 0)
	confirmed := suspicion(7, "i-3/1", epoch.Add(confirmDelay))
	due := confirmDelay + crash.UnconfirmedGrace
	cases := []struct {
		name  string
		added []crash.Suspicion
		after time.Duration
		want  bool
	}{
		{name: "before its time", added: []crash.Suspicion{first, second, third}, after: due - 1},
		{name: "at its time", added: []crash.Suspicion{first, second, third}, after: due, want: true},
		{name: "of two servers", added: []crash.Suspicion{first, second, second}, after: due},
		{name: "withdrawn", added: []crash.Suspicion{first, second, third, withdrawn(request, "i-3/1", 0)}, after: due},
		{name: "withdrawn and reported again", added: []crash.Suspicion{first, second, third, withdrawn(request, "i-3/1", 0), third}, after: due},
		{name: "withdrawn before it is known", added: []crash.Suspicion{first, second, withdrawn(request, "i-3/1", 0), third}, after: due},
		{name: "confirmed by one entry, withdrawn by another", added: []crash.Suspicion{first, second, third, confirmed, withdrawn(request, "i-3/1", 0)}, after: due, want: true},
		{name: "withdrawn by one entry, confirmed by another", added: []crash.Suspicion{first, second, third, withdrawn(request, "i-3/1", 0), confirmed}, after: due, want: true},
		{
			name: "found again after a withdrawal", after: due + time.Second, want: true,
			added: []crash.Suspicion{first, second, third, withdrawn(request, "i-3/1", 0), unconfirmed(request, "i-3/1", time.Second)},
		},
		{
			name: "a former one is withdrawn", after: due + time.Second, want: true,
			added: []crash.Suspicion{first, second, unconfirmed(request, "i-3/1", time.Second), withdrawn(request, "i-3/1", 0)},
		},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			tracker, aggregator, other := crash.NewTracker(), crash.NewAggregator(), crash.NewTracker()
			for _, suspicion := range each.added {
				tracker.Add(suspicion)
				aggregator.Add([]crash.Suspicion{suspicion})
			}
			shared, _ := aggregator.Since(0)
			other.Add(shared...)
			for _, tracker := range []*crash.Tracker{tracker, other} {
				tracker.Settle(epoch.Add(each.after))
				g.Expect(tracker.Quarantined(7)).To(Equal(each.want))
			}
			aggregator.Expire(epoch.Add(each.after))
			recorded := crash.NewTracker()
			recorded.Add(aggregator.Record().Suspicions()...)
			g.Expect(recorded.Quarantined(7)).To(Equal(each.want), "by the record")
		})
	}
}

// Guards against a quarantine of a live server's request that stays although the withdrawal
// only came late, such as from an entry that was frozen.
func TestLateWithdrawalEndsQuarantine(t *testing.T) {
	g := NewWithT(t)
	request := crash.Subject{Fingerprint: 7}
	tracker := crash.NewTracker()
	for _, server := range []string{"i-1/1", "i-2/1", "i-3/1"} {
		tracker.Add(unconfirmed(request, server, 0))
	}
	g.Expect(tracker.Settle(epoch.Add(time.Minute))).To(ConsistOf(request))
	g.Expect(tracker.TakeCounted()).To(HaveLen(3))
	tracker.Add(withdrawn(request, "i-2/1", 0))
	g.Expect(tracker.Quarantined(7)).To(BeFalse())
	g.Expect(tracker.Expire(epoch.Add(time.Minute))).To(ConsistOf(request))
}

// restart kills an entry, with all that it knows, and starts it again.
func (run *fleetRun) restart(index int) {
	run.pending = slices.DeleteFunc(run.pending, func(pending pendingSuspicion) bool { return pending.entry == index })
	run.entries[index] = &fleetEntry{tracker: crash.NewTracker(), reportAt: run.now.Add(time.Second)}
}

// span is a range of milliseconds.
type span struct{ least, most int }

func (span span) draw(t *rapid.T, label string) time.Duration {
	return time.Duration(rapid.IntRange(span.least, span.most).Draw(t, label)) * time.Millisecond
}

// Guards against a request that crashes servers on and on as the entry through which it came
// is killed, with or without the coordinator, soon after the third crash.
func TestLossOfEntryKeepsCrashes(t *testing.T) {
	cases := []struct {
		name    string
		entries int
		// every is the time between two requests, pause that after the third, killAfter that
		// from the third to the kill, and without that without a coordinator after the kill.
		every, pause, killAfter, without span
	}{
		{name: "the coordinator stays", entries: 60, every: span{200, 900}, pause: span{0, 3600}, killAfter: span{200, 1600}},
		{name: "with the coordinator", entries: 60, every: span{200, 900}, pause: span{0, 3600}, killAfter: span{200, 1600}, without: span{1, 3000}},
		{name: "at once, the next coordinator comes soon", entries: 5, every: span{200, 300}, pause: span{2900, 3200}, killAfter: span{200, 210}, without: span{1, 300}},
		{name: "at once, the next coordinator comes late", entries: 30, every: span{200, 300}, pause: span{2900, 3200}, killAfter: span{200, 210}, without: span{3000, 6000}},
	}
	for _, each := range cases {
		t.Run(each.name, rapid.MakeCheck(func(t *rapid.T) {
			run := &fleetRun{t: t, now: epoch, aggregator: crash.NewAggregator(), term: 1}
			for range rapid.IntRange(4, each.entries).Draw(t, "entries") {
				run.entries = append(run.entries, &fleetEntry{tracker: crash.NewTracker(), reportAt: epoch.Add(span{0, 249}.draw(t, "offset"))})
			}
			const deadly = crash.Fingerprint(7)
			every, pause, killAfter := each.every.draw(t, "every"), each.pause.draw(t, "pause"), each.killAfter.draw(t, "killed after")
			next, killed := epoch.Add(time.Second), false
			for run.now.Before(epoch.Add(15 * time.Second)) {
				run.step()
				if !killed && len(run.crashes) >= 3 && run.now.Sub(run.crashes[2]) >= killAfter {
					killed = true
					run.restart(0)
					if each.without.most > 0 {
						run.lose(each.without.draw(t, "without a coordinator"))
					}
				}
				if run.now.Before(next) {
					continue
				}
				next = run.now.Add(every)
				index := 0
				if len(run.crashes) >= 3 {
					index = rapid.IntRange(1, len(run.entries)-1).Draw(t, "entry")
				}
				entry := run.entries[index]
				if entry.tracker.Quarantined(deadly) || (entry.tracker.NearQuarantine(deadly) && run.now.Sub(entry.answeredAt) > reachableTime) {
					continue
				}
				run.crashes = append(run.crashes, run.now)
				if len(run.crashes) == 3 {
					next = run.now.Add(max(pause, every))
				}
				if len(run.crashes) > 3 && run.now.Sub(run.crashes[2]) > fleetContact {
					run.late++
				}
				server := "i-" + strconv.Itoa(len(run.crashes)) + "/1"
				run.suspect(pendingSuspicion{entry: index, at: run.now.Add(confirmDelay), found: []crash.Suspicion{suspicion(deadly, server, run.now)}})
			}
			if run.late > fleetAllowed {
				t.Fatalf("%d requests were sent later than %v after the third crash, crashes at %v", run.late, fleetContact, spans(run.crashes))
			}
		}))
	}
}

// Guards against harm to sound requests by unconfirmed suspicions: twenty servers end at once,
// and the connections of one entry to all others break although they are alive. Each request
// runs at one server, and a frequent one at two.
func TestManyEndsRefuseNoSoundRequest(t *testing.T) {
	g := NewWithT(t)
	const frequent, perServer = crash.Fingerprint(1), 16
	entries, aggregator := make([]*crash.Tracker, 22), crash.NewAggregator()
	for index := range entries {
		entries[index] = crash.NewTracker()
	}
	var broken [][]crash.Suspicion
	for server := range 40 {
		name := "i-" + strconv.Itoa(server) + "/1"
		var found []crash.Suspicion
		for request := range perServer {
			found = append(found, unconfirmed(crash.Subject{Fingerprint: crash.Fingerprint(1000 + server*perServer + request)}, name, 0))
		}
		if server < 2 || server >= 20 {
			found = append(found, unconfirmed(crash.Subject{Fingerprint: frequent}, name, 0))
		}
		broken = append(broken, found)
	}
	report := func() int {
		sent := 0
		for _, tracker := range entries {
			suspicions, _ := tracker.Since(0)
			aggregator.Add(suspicions)
			shared, _ := aggregator.Since(0)
			tracker.Add(shared...)
			sent = max(sent, len(shared))
		}
		return sent
	}
	add := func(now time.Time, edit func(server int, suspicion crash.Suspicion) crash.Suspicion) {
		for server, found := range broken {
			for index, suspicion := range found {
				entry := entries[(server+index)%len(entries)]
				if server >= 20 {
					entry = entries[0]
				}
				entry.AddOwn(now, edit(server, suspicion))
			}
		}
	}
	add(epoch, func(_ int, suspicion crash.Suspicion) crash.Suspicion { return suspicion })
	g.Expect(report()).To(Equal(22), "only the request that ran at several servers is shared")
	report()
	add(epoch.Add(confirmDelay), func(server int, suspicion crash.Suspicion) crash.Suspicion {
		if server >= 20 {
			suspicion.Withdrawn = true
			return suspicion
		}
		suspicion.At, suspicion.CountsAt = epoch.Add(confirmDelay), time.Time{}
		return suspicion
	})
	report()
	report()
	for _, tracker := range entries {
		g.Expect(tracker.Settle(epoch.Add(time.Minute))).To(BeEmpty())
		g.Expect(tracker.QuarantinedCount(epoch.Add(time.Minute))).To(BeZero())
	}
}
