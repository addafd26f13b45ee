package crash_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/crash"
)

const (
	fleetStep = 10 * time.Millisecond
	// fleetContact is the time after the fifth crash within which a part has to be
	// quarantined everywhere, and fleetAllowed how many requests with it may be sent later.
	fleetContact = 3 * time.Second
	fleetAllowed = 3
	// fleetSamples is how many sound requests with a part are enough to judge by.
	fleetSamples = 20
	// confirmDelay is the time after which a silent server counts as crashed.
	confirmDelay = 1500 * time.Millisecond
	// reportEvery is the time between two reports, and reportLeast that before a report of
	// news.
	reportEvery = 250 * time.Millisecond
	reportLeast = 50 * time.Millisecond
	// reportTimeout is the time after which a report without an answer has failed.
	reportTimeout = 600 * time.Millisecond
	// deadlyTime is how long a server runs before it ends under a deadly part, and
	// restartTime how long it is away.
	deadlyTime  = 100 * time.Millisecond
	restartTime = 3 * time.Second
	// system is the part that all prompts have.
	system crash.Fingerprint = 1
)

// fleetRequest is a request at a server that has not begun to answer it.
type fleetRequest struct {
	entry      int
	parts      []crash.Fingerprint
	probed     []crash.Fingerprint
	answeredAt time.Time
	endsAt     time.Time
}

// fleetServer is one of the servers, which restart as other incarnations.
type fleetServer struct {
	incarnation int
	upAt        time.Time
	waiting     []*fleetRequest
}

// fleetEntry is an entry and what it exchanges with the coordinator.
type fleetEntry struct {
	tracker  *crash.Tracker
	reportAt time.Time
	// answeredAt is when the coordinator last answered a report.
	answeredAt time.Time
	// term, reported and received say what this term's coordinator has acknowledged and sent.
	term               int
	reported, received int64
}

// pendingSuspicion is a broken request whose server is not confirmed to have ended yet.
type pendingSuspicion struct {
	entry int
	at    time.Time
	found []crash.Suspicion
}

// fleetRun plays requests in virtual time.
type fleetRun struct {
	t          *rapid.T
	now        time.Time
	entries    []*fleetEntry
	servers    []*fleetServer
	pending    []pendingSuspicion
	aggregator *crash.Aggregator
	term       int
	// awayUntil is when there is a coordinator again.
	awayUntil time.Time
	deadly    []crash.Fingerprint
	crashes   []time.Time
	late      int
	// sent and served count the sound requests that count, by the last of their parts.
	sent, served map[crash.Fingerprint]int
}

// spans returns times as spans since the beginning.
func spans(times []time.Time) []time.Duration {
	var spans []time.Duration
	for _, at := range times {
		spans = append(spans, at.Sub(epoch))
	}
	return spans
}

// settledFor reports whether a span has passed since the fifth crash.
func (run *fleetRun) settledFor(span time.Duration) bool {
	return len(run.crashes) >= 5 && run.now.Sub(run.crashes[4]) > span
}

// send sends a request with parts from an entry to a server, unless that refuses it.
func (run *fleetRun) send(index int, parts []crash.Fingerprint) {
	entry := run.entries[index]
	deadly := slices.ContainsFunc(parts, func(part crash.Fingerprint) bool { return slices.Contains(run.deadly, part) })
	counts := !deadly && run.settledFor(2*fleetContact)
	last := parts[len(parts)-1]
	if counts {
		run.sent[last]++
	}
	quarantined := entry.tracker.QuarantinedParts(parts, run.now)
	if slices.Contains(quarantined, system) {
		run.t.Fatalf("%v: entry %d quarantines the part that all prompts have", run.now.Sub(epoch), index)
	}
	if len(quarantined) > 0 && !run.probe(quarantined) {
		return
	}
	var up []*fleetServer
	for _, server := range run.servers {
		if !run.now.Before(server.upAt) {
			up = append(up, server)
		}
	}
	if len(up) == 0 {
		return
	}
	server := up[rapid.IntRange(0, len(up)-1).Draw(run.t, "server")]
	request := &fleetRequest{entry: index, parts: parts, probed: quarantined}
	if deadly {
		request.endsAt = run.now.Add(deadlyTime)
		if run.settledFor(fleetContact) {
			run.late++
		}
	} else {
		request.answeredAt = run.now.Add(time.Duration(rapid.IntRange(20, 400).Draw(run.t, "first event")) * time.Millisecond)
		if counts {
			run.served[last]++
		}
	}
	server.waiting = append(server.waiting, request)
}

// probe asks the coordinator whether parts may be probed.
func (run *fleetRun) probe(parts []crash.Fingerprint) bool {
	if run.now.Before(run.awayUntil) {
		return false
	}
	_, granted := run.aggregator.Probe(parts, run.now)
	return granted
}

// end ends a server with all requests that it has not begun to answer.
func (run *fleetRun) end(server *fleetServer) {
	name := "i-" + strconv.Itoa(slices.Index(run.servers, server)) + "/" + strconv.Itoa(server.incarnation)
	for _, request := range server.waiting {
		pending := pendingSuspicion{entry: request.entry, at: run.now.Add(confirmDelay)}
		for _, part := range request.parts {
			pending.found = append(pending.found, crash.Suspicion{
				Fingerprint: part, Part: true, Server: name, At: run.now, Probe: slices.Contains(request.probed, part),
			})
		}
		run.suspect(pending)
	}
	server.waiting = nil
	server.incarnation++
	server.upAt = run.now.Add(restartTime)
}

// suspect has an entry report unconfirmed suspicions, which it confirms later.
func (run *fleetRun) suspect(pending pendingSuspicion) {
	run.pending = append(run.pending, pending)
	unconfirmed := slices.Clone(pending.found)
	for index := range unconfirmed {
		unconfirmed[index].CountsAt = pending.at.Add(crash.UnconfirmedGrace)
	}
	run.entries[pending.entry].tracker.AddOwn(run.now, unconfirmed...)
}

// step lets servers answer and end, suspicions be confirmed and entries report.
func (run *fleetRun) step() {
	run.now = run.now.Add(fleetStep)
	for _, server := range run.servers {
		deadly := false
		server.waiting = slices.DeleteFunc(server.waiting, func(request *fleetRequest) bool {
			if !request.endsAt.IsZero() {
				deadly = deadly || !run.now.Before(request.endsAt)
				return false
			}
			if run.now.Before(request.answeredAt) {
				return false
			}
			run.entries[request.entry].tracker.RecordAnswer(request.parts, run.now)
			return true
		})
		if deadly {
			run.crashes = append(run.crashes, run.now)
			run.end(server)
		}
	}
	run.pending = slices.DeleteFunc(run.pending, func(pending pendingSuspicion) bool {
		if run.now.Before(pending.at) {
			return false
		}
		run.entries[pending.entry].tracker.AddOwn(run.now, pending.found...)
		return true
	})
	if run.now.Before(run.awayUntil) {
		for _, entry := range run.entries {
			if !run.now.Before(entry.reportAt) {
				entry.reportAt = run.now.Add(reportEvery + reportTimeout)
				entry.tracker.Settle(run.now)
			}
		}
		return
	}
	run.aggregator.Expire(run.now)
	for _, entry := range run.entries {
		select {
		case <-entry.tracker.Observed():
			entry.reportAt = entry.reportAt.Add(reportLeast - reportEvery)
		default:
		}
		if run.now.Before(entry.reportAt) {
			continue
		}
		entry.reportAt, entry.answeredAt = run.now.Add(reportEvery), run.now
		entry.tracker.Settle(run.now)
		if entry.term != run.term {
			entry.term, entry.reported, entry.received = run.term, 0, 0
		}
		suspicions, reported := entry.tracker.Since(entry.reported)
		run.aggregator.Add(run.carried(suspicions))
		shared, received := run.aggregator.Since(entry.received)
		entry.reported, entry.received = reported, received
		entry.tracker.Add(run.carried(shared)...)
		entry.tracker.Settle(run.now)
	}
}

// carried returns suspicions as another process receives them: their ages do not include the
// time on the way.
func (run *fleetRun) carried(suspicions []crash.Suspicion) []crash.Suspicion {
	delay := time.Duration(rapid.IntRange(0, 100).Draw(run.t, "delay")) * time.Millisecond
	carried := slices.Clone(suspicions)
	for index := range carried {
		carried[index].At = carried[index].At.Add(delay)
		if !carried[index].CountsAt.IsZero() {
			carried[index].CountsAt = carried[index].CountsAt.Add(delay)
		}
	}
	return carried
}

// lose ends the coordinator. Its successor begins without suspicions.
func (run *fleetRun) lose(span time.Duration) {
	run.term++
	run.aggregator = crash.NewAggregator()
	run.awayUntil = run.now.Add(span)
}

// Sound requests, plain crashes and losses of the coordinator, over fleets of all sizes.
func TestFleetQuarantinesDeadlyParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := &fleetRun{t: t, now: epoch, aggregator: crash.NewAggregator(), term: 1, sent: map[crash.Fingerprint]int{}, served: map[crash.Fingerprint]int{}}
		for range rapid.IntRange(1, 60).Draw(t, "entries") {
			offset := time.Duration(rapid.IntRange(0, 249).Draw(t, "offset")) * time.Millisecond
			run.entries = append(run.entries, &fleetEntry{tracker: crash.NewTracker(), reportAt: epoch.Add(offset)})
		}
		for range 24 {
			run.servers = append(run.servers, &fleetServer{})
		}
		const bad = crash.Fingerprint(100)
		others := make([]crash.Fingerprint, rapid.IntRange(1, 6).Draw(t, "other parts"))
		for index := range others {
			others[index] = crash.Fingerprint(10 + index)
		}
		run.deadly = []crash.Fingerprint{bad}
		deadlyEvery := time.Duration(rapid.IntRange(100, 2500).Draw(t, "deadly every")) * time.Millisecond
		soundEvery := time.Duration(rapid.IntRange(1, 5).Draw(t, "sound every")) * fleetStep
		var companions []crash.Fingerprint
		for index := range rapid.IntRange(0, 3).Draw(t, "parts that no sound request has at first") {
			companions = append(companions, crash.Fingerprint(50+index))
		}
		plainEnds := rapid.IntRange(0, 6).Draw(t, "plain ends")
		nextDeadly, nextSound := epoch.Add(time.Second), epoch
		losses := rapid.IntRange(0, 2).Draw(t, "losses")
		for run.now.Before(epoch.Add(25 * time.Second)) {
			run.step()
			if !run.now.Before(nextSound) {
				nextSound = run.now.Add(soundEvery)
				parts := []crash.Fingerprint{system, others[rapid.IntRange(0, len(others)-1).Draw(t, "other")]}
				if len(companions) > 0 && run.settledFor(0) && rapid.IntRange(0, 9).Draw(t, "companion") == 0 {
					parts = append([]crash.Fingerprint{system}, companions...)
				}
				run.send(rapid.IntRange(0, len(run.entries)-1).Draw(t, "entry"), parts)
			}
			if !run.now.Before(nextDeadly) {
				nextDeadly = run.now.Add(deadlyEvery)
				parts := []crash.Fingerprint{system, others[0], bad}
				if len(companions) > 0 {
					parts = slices.Concat([]crash.Fingerprint{system}, companions, []crash.Fingerprint{bad})
				}
				run.send(rapid.IntRange(0, len(run.entries)-1).Draw(t, "entry"), parts)
			}
			if plainEnds > 0 && rapid.IntRange(0, 200).Draw(t, "end") == 0 {
				plainEnds--
				for range rapid.IntRange(1, 8).Draw(t, "servers") {
					run.end(run.servers[rapid.IntRange(0, len(run.servers)-1).Draw(t, "server")])
				}
			}
			if losses > 0 && rapid.IntRange(0, 400).Draw(t, "loss") == 0 {
				losses--
				run.lose(time.Duration(rapid.IntRange(0, 500).Draw(t, "without a coordinator")) * time.Millisecond)
			}
		}
		if run.late > fleetAllowed {
			t.Fatalf("%d requests with the part were sent later than %v after the fifth crash, crashes at %v", run.late, fleetContact, spans(run.crashes))
		}
		for part, sent := range run.sent {
			if sent >= fleetSamples && 2*run.served[part] < sent {
				t.Fatalf("%d of %d sound requests with part %v were served", run.served[part], sent, part)
			}
		}
		for index, entry := range run.entries {
			if quarantined := entry.tracker.QuarantinedParts(slices.Concat([]crash.Fingerprint{system}, others), run.now); len(quarantined) > 0 {
				t.Fatalf("entry %d of %d still quarantines %v, suspicions %v, crashes %v, now %v", index, len(run.entries), quarantined, entry.tracker.Suspicions(run.now), run.crashes, run.now)
			}
			if count := len(entry.tracker.Suspicions(run.now)); count > 256*24 {
				t.Fatalf("entry %d stores %d suspicions", index, count)
			}
		}
	})
}
