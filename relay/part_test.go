package relay_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
)

const (
	// partContact is the time within which a part must be quarantined after the fifth
	// server ended or an entry restarted; partRetries is how many requests with the part
	// may still reach a server after that.
	partContact = 3 * time.Second
	partRetries = 3
	// partSound is the time after the fifth end from which sound requests have to be
	// served.
	partSound = 2 * partContact
	// partWatched is how long requests are counted at least. It goes on, up to partTimeout,
	// until there are partSamples sound requests of each prompt.
	partWatched = 14 * time.Second
	partTimeout = 2 * time.Minute
	partSamples = 20
)

// soundCount counts sound requests by the parts of their prompts.
type soundCount struct {
	// mutex guards the fields below.
	mutex        sync.Mutex
	sent, served map[string]int
}

func (soundCount *soundCount) add(parts string, served bool) {
	soundCount.mutex.Lock()
	defer soundCount.mutex.Unlock()
	soundCount.sent[parts]++
	if served {
		soundCount.served[parts]++
	}
}

// enough reports whether there are partSamples requests of each prompt.
func (soundCount *soundCount) enough(prompts []string) bool {
	soundCount.mutex.Lock()
	defer soundCount.mutex.Unlock()
	return !slices.ContainsFunc(prompts, func(prompt string) bool { return soundCount.sent[prompt] < partSamples })
}

// hasPart reports whether one of the parts of a request's prompt, except for the last one, is
// in parts.
func hasPart(request *http.Request, parts ...string) bool {
	all := strings.Split(request.Header.Get("Parts"), ",")
	return slices.ContainsFunc(all[:len(all)-1], func(part string) bool { return slices.Contains(parts, part) })
}

// fifthEnd returns when the fifth server ended, or zero if it has not.
func (fleet *fleet) fifthEnd() time.Time {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if len(fleet.ends) < 5 {
		return time.Time{}
	}
	return fleet.ends[4]
}

// Requests that are no two alike share a deadly part, sound ones share all their other parts.
func TestPartThatCrashesServersIsQuarantined(t *testing.T) {
	cases := []struct {
		name string
		// deadly are the prompts of the requests that end servers, without the last part.
		deadly []string
		// parts are the parts that end servers.
		parts []string
		sound []string
		// late are prompts of sound requests that come only after the fifth server ended.
		late []string
		// lateDelay is the time after the end of the fifth server from which they come.
		lateDelay time.Duration
		// disturb is called every two seconds, with the number of former calls.
		disturb func(fleet *fleet, times int)
	}{
		{name: "first", deadly: []string{"bad,a", "bad,b"}, parts: []string{"bad"}, sound: []string{"system,a", "system,b"}},
		{name: "in the middle", deadly: []string{"system,bad,a", "system,bad,b"}, parts: []string{"bad"}, sound: []string{"system,a", "system,b"}},
		{name: "before the last", deadly: []string{"system,a,bad", "system,b,bad"}, parts: []string{"bad"}, sound: []string{"system,a", "system,b", "system"}},
		{name: "alone before the last", deadly: []string{"bad"}, parts: []string{"bad"}, sound: []string{"system", ""}},
		{name: "two parts", deadly: []string{"system,bad", "worse,a", "system,b"}, parts: []string{"bad", "worse"}, sound: []string{"system,a", "system"}},
		{
			name: "beside a part that has been in no other request", deadly: []string{"system,rare,bad"}, parts: []string{"bad"},
			sound: []string{"system,a", "system,b"}, late: []string{"system,rare"},
		},
		{
			// Guards against prompts of two shared parts that are refused for as long as suspicions
			// last, as none of the parts ever comes without the other (review/8).
			name: "beside two parts that have been in no other request", deadly: []string{"rare,rarer,bad"}, parts: []string{"bad"},
			sound: []string{"system,a", "system,b"}, late: []string{"rare,rarer"}, lateDelay: partContact,
		},
		{
			name: "around changes of coordinators", deadly: []string{"system,bad,a"}, parts: []string{"bad"}, sound: []string{"system,a", "system,b"},
			disturb: func(fleet *fleet, times int) { fleet.elect(times % 3) },
		},
		{
			name: "while entries are killed in turn", deadly: []string{"system,bad,a"}, parts: []string{"bad"}, sound: []string{"system,a", "system,b"},
			disturb: func(fleet *fleet, times int) { fleet.restart(times % 3) },
		},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			draft := route("draft", policy.KindStream, "notes")
			fleet := newEntries(t, 3, draft)
			var late atomic.Int64
			fleet.deadly = func(request *http.Request, _ string) bool {
				deadly := hasPart(request, each.parts...)
				if deadly && strings.HasPrefix(request.URL.Path, "/draft/late-") {
					late.Add(1)
				}
				return deadly
			}
			for range 12 {
				fleet.engine("")
			}
			sound := &soundCount{sent: map[string]int{}, served: map[string]int{}}
			stop := make(chan struct{})
			var callers sync.WaitGroup
			call := func(index int, prompts []string, begin func() bool, counted func(sent time.Time, front *entry) bool) {
				callers.Go(func() {
					for number := 0; ; number++ {
						select {
						case <-stop:
							return
						case <-time.After(100 * time.Millisecond):
						}
						if len(prompts) == 0 || !begin() {
							continue
						}
						prompt := prompts[(index+number)%len(prompts)]
						front, sent := fleet.at(index+number), time.Now()
						last := fmt.Sprintf("own-%d-%d", index, number)
						result := front.call(http.MethodPost, fmt.Sprintf("/draft/%d-%d", index, number), last, map[string]string{"Parts": strings.TrimPrefix(prompt+","+last, ",")})
						if counted(sent, front) {
							sound.add(prompt, result.status == http.StatusOK)
						}
					}
				})
			}
			settled := func(sent time.Time, front *entry) bool {
				at := fleet.fifthEnd()
				return !at.IsZero() && sent.After(at.Add(partSound)) && sent.After(front.startedAt.Add(partContact))
			}
			for index := range 18 {
				call(index, each.sound, func() bool { return true }, settled)
			}
			for index := range 4 {
				call(index, each.late, func() bool {
					at := fleet.fifthEnd()
					return !at.IsZero() && time.Since(at) >= each.lateDelay
				}, settled)
			}
			prompts := slices.Concat(each.sound, each.late)
			began := time.Now()
			for number := 0; ; number++ {
				time.Sleep(125 * time.Millisecond)
				front, sent, at := fleet.at(number), time.Now(), fleet.fifthEnd()
				last := fmt.Sprintf("early-%d", number)
				if !at.IsZero() && sent.After(at.Add(partContact)) && sent.After(front.startedAt.Add(partContact)) {
					last = fmt.Sprintf("late-%d", number)
				}
				callers.Go(func() {
					front.call(http.MethodPost, "/draft/"+last, last, map[string]string{"Parts": each.deadly[number%len(each.deadly)] + "," + last})
				})
				watched := !at.IsZero() && sent.After(at.Add(partWatched)) && sound.enough(prompts)
				if watched || sent.Sub(began) > partTimeout {
					break
				}
				if each.disturb != nil && number%16 == 15 {
					each.disturb(fleet, number/16)
				}
			}
			close(stop)
			callers.Wait()
			g.Expect(fleet.fifthEnd()).NotTo(BeZero(), "five servers have ended")
			g.Expect(late.Load()).To(BeNumerically("<=", partRetries*len(each.parts)), "requests with the part that reached servers")
			for _, prompt := range prompts {
				g.Expect(sound.sent[prompt]).To(BeNumerically(">=", partSamples), prompt)
				g.Expect(2*sound.served[prompt]).To(BeNumerically(">=", sound.sent[prompt]), "%q: %d of %d", prompt, sound.served[prompt], sound.sent[prompt])
			}
		})
	}
}

// Servers end for reasons of their own while requests wait for their first event.
func TestPlainCrashesQuarantineNoPart(t *testing.T) {
	const ends = 8
	cases := []struct {
		name string
		// interval is the time between the ends of two servers.
		interval time.Duration
		prompts  []string
	}{
		{name: "one after the other", interval: 600 * time.Millisecond, prompts: []string{"system,a", "system,b"}},
		{name: "a failure domain at once", prompts: []string{"system,a", "system,b"}},
		{name: "a failure domain at once, with prompts that hardly anybody else sends", prompts: []string{"rare"}},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			draft := route("draft", policy.KindStream, "notes")
			draft.Objective = time.Second
			fleet := newEntries(t, 3, draft)
			fleet.slowStart = 600 * time.Millisecond
			for range 2 * ends {
				fleet.engine("")
			}
			stop := make(chan struct{})
			var callers sync.WaitGroup
			for index := range 96 {
				callers.Go(func() {
					for number := 0; ; number++ {
						select {
						case <-stop:
							return
						case <-time.After(20 * time.Millisecond):
							last := fmt.Sprintf("own-%d-%d", index, number)
							fleet.at(index).call(http.MethodPost, "/draft/"+last, last, map[string]string{"Parts": each.prompts[index%len(each.prompts)] + "," + last})
						}
					}
				})
			}
			time.Sleep(2 * time.Second)
			for index := range ends {
				go fleet.crashNow(names.BackendServer(fmt.Sprintf("engine-%d", index+1)))
				time.Sleep(each.interval)
			}
			time.Sleep(4 * time.Second)
			close(stop)
			callers.Wait()
			for index := range 3 {
				g.Expect(fleet.at(index).crashes.Suspicions(time.Now())).NotTo(BeEmpty(), "requests waited at servers that ended")
				for _, line := range fleet.at(index).logs.AllEntries() {
					g.Expect(line.Message).NotTo(Equal("quarantineBegun"), "%v", line.Data)
					g.Expect(line.Data["reason"]).NotTo(Equal("quarantined"))
				}
			}
		})
	}
}
