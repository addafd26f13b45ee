package claim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/claim"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/stand"
)

const (
	chaosCallers = 8
	chaosCalls   = 60
	chaosKeys    = 25
	// callsPerFault is the number of calls between two injections of faults.
	callsPerFault = 20
)

// chaos runs callers that repeat calls through any entry, while the key-value
// service has faults and entries are replaced.
type chaos struct {
	*fleet
	calls atomic.Int64
	// mu guards the entries of the fleet and ran.
	mu  sync.Mutex
	ran map[string]int
	// faultMu lets one injection of faults end before the next. It is locked
	// before mu.
	faultMu sync.Mutex
}

// TestChaos checks that no idempotency key runs twice at the backend server
// while the key-value service has faults and entries are replaced.
func TestChaos(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("calls", runChaos)
}

func runChaos(t *testing.T) {
	chaos := &chaos{fleet: newFleet(t), ran: map[string]int{}}
	var calling sync.WaitGroup
	for caller := range chaosCallers {
		calling.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(caller)))
			for range chaosCalls {
				chaos.call(rng)
				if count := chaos.calls.Add(1); count%callsPerFault == 0 {
					chaos.injectFault(int(count / callsPerFault))
				}
			}
		})
	}
	calling.Wait()
	chaos.kv.SetFaults(stand.KVFaults{})
	chaos.g.Expect(chaos.ran).NotTo(BeEmpty())
	chaos.g.Expect(chaos.ran).To(HaveEach(1))
}

// call makes one call and ends it in one of the ways in which an entry may.
func (chaos *chaos) call(rng *rand.Rand) {
	key := fmt.Sprint("k", rng.IntN(chaosKeys))
	chaos.mu.Lock()
	client := chaos.entries[rng.IntN(fleetEntries)].client
	chaos.mu.Unlock()
	claimIntent := intent(key, "b", 0)
	claimIntent.Request = names.Request(fmt.Sprintf("request-%d", rng.Uint64()))
	proceed, ok := client.Begin(context.Background(), claimIntent).(claim.Proceed)
	if !ok {
		return
	}
	switch rng.IntN(4) {
	case 0: // proved never to have been sent
		client.Release(proceed.Claim)
	case 1: // ran, the entry died
		chaos.execute(key)
	case 2: // ran, the answer was lost
		chaos.execute(key)
		client.Finish(proceed.Claim, call.Unknown{}, claim.Answer{})
	default:
		chaos.execute(key)
		client.Finish(proceed.Claim, call.Run{}, claim.Answer{Status: 200, Body: []byte(key)})
	}
}

func (chaos *chaos) execute(key string) {
	chaos.mu.Lock()
	defer chaos.mu.Unlock()
	chaos.ran[key]++
}

// injectFault sets the next faults of the key-value service. Every third time it
// also replaces an entry.
func (chaos *chaos) injectFault(number int) {
	chaos.faultMu.Lock()
	defer chaos.faultMu.Unlock()
	faults := []stand.KVFaults{
		{LoseShare: 0.3},
		{LateWrites: 10, LateDelay: time.Millisecond},
		{Refuse: true},
		{LoseAnswers: 5, LateWrites: 5, LateDelay: 5 * time.Millisecond},
		{},
	}
	chaos.kv.SetFaults(faults[number%len(faults)])
	if number%3 == 0 {
		chaos.replace(number / 3 % fleetEntries)
	}
}

func (chaos *chaos) replace(index int) {
	chaos.mu.Lock()
	old := chaos.entries[index]
	chaos.mu.Unlock()
	old.stop()
	fresh := chaos.start(chaos.members[index].Instance, chaos.relisten(index), fleetShards)
	chaos.mu.Lock()
	defer chaos.mu.Unlock()
	chaos.entries[index] = fresh
}
