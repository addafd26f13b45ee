package memory_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/memory"
)

const (
	mib   = 1 << 20
	limit = 16 * mib
	body  = 4 * mib
)

var start = time.Unix(1_700_000_000, 0)

// sender is a request whose body arrives.
type sender struct {
	account *memory.Account
	size    int64
	read    int64
	wait    *memory.Wait
	waited  time.Time
	refused bool
}

// step reads the next piece of the body, if it may be read now.
func (sender *sender) step(now time.Time) {
	if sender.wait != nil {
		select {
		case <-sender.wait.Granted():
			sender.wait = nil
		default:
			sender.wait.Poll(now)
			if now.Sub(sender.waited) >= memory.MaxWait {
				sender.refuse(now)
			}
			return
		}
	}
	rest := sender.size - sender.read
	piece := min(rest, memory.NextPieceBytes(sender.read))
	wait, err := sender.account.HoldBody(piece, rest, now)
	switch {
	case err != nil:
		sender.refuse(now)
	case wait != nil:
		sender.wait, sender.waited = wait, now
	default:
		sender.read += piece
		if sender.whole() {
			sender.account.EndBody(now)
		}
	}
}

func (sender *sender) refuse(now time.Time) {
	if sender.wait != nil {
		sender.wait.Cancel(now)
	}
	sender.refused = true
	sender.account.Close(now)
}

func (sender *sender) whole() bool { return sender.read == sender.size }

func heldBytes(budget *memory.Budget) int64 {
	sum := budget.Promised()
	for _, purpose := range memory.Purposes() {
		sum += budget.Held(purpose)
	}
	return sum
}

// TestBodiesThatArriveTogetherAreCompleted guards against a budget that fills with the
// beginnings of bodies none of which can be completed.
func TestBodiesThatArriveTogetherAreCompleted(t *testing.T) {
	g := NewWithT(t)
	budget := memory.NewBudget(limit)
	senders := make([]*sender, 10)
	for index := range senders {
		senders[index] = &sender{account: budget.NewAccount(), size: body}
	}
	now := start
	for range body/memory.MaxPieceBytes + 10 {
		for _, sender := range senders {
			if !sender.refused && !sender.whole() {
				sender.step(now)
			}
		}
		g.Expect(heldBytes(budget)).To(BeNumerically("<=", limit))
		now = now.Add(time.Millisecond)
	}
	whole, refused := 0, 0
	for _, sender := range senders {
		if sender.whole() {
			whole++
		}
		if sender.refused {
			refused++
		}
	}
	g.Expect(whole).To(Equal(3), "as many as fit")
	g.Expect(refused).To(Equal(5), "more than half of the budget can't wait for it")
	small := budget.NewAccount()
	wait, err := small.HoldBody(2000, 2000, now)
	g.Expect(wait).To(BeNil(), "small bodies don't wait behind large ones")
	g.Expect(err).NotTo(HaveOccurred())
	senders[0].account.Close(now)
	waiting := 0
	for _, sender := range senders {
		if sender.wait != nil {
			sender.step(now)
			if sender.wait != nil {
				waiting++
			}
		}
	}
	g.Expect(waiting).To(Equal(1), "a body goes on as soon as another request has ended")
}

// TestPromisesToBodiesThatDoNotArriveLapse guards against callers that announce large bodies,
// send nothing, and keep out all others.
func TestPromisesToBodiesThatDoNotArriveLapse(t *testing.T) {
	g := NewWithT(t)
	budget := memory.NewBudget(limit)
	for range 3 {
		wait, err := budget.NewAccount().HoldBody(4096, body, start)
		g.Expect(wait).To(BeNil())
		g.Expect(err).NotTo(HaveOccurred())
	}
	sound := &sender{account: budget.NewAccount(), size: body}
	now := start.Add(1500 * time.Millisecond)
	for !sound.whole() && !sound.refused {
		sound.step(now)
		now = now.Add(20 * time.Millisecond)
	}
	g.Expect(sound.whole()).To(BeTrue())
}

// TestBudgetSizes checks how the budget follows the instance's memory.
func TestBudgetSizes(t *testing.T) {
	cases := []struct {
		memoryBytes int64
		lowest      int64
		highest     int64
	}{
		{memoryBytes: 0},
		{memoryBytes: -1},
		{memoryBytes: 20 * mib, lowest: 4 * mib, highest: 4 * mib},
		{memoryBytes: 144 * mib, lowest: 62 * mib, highest: 63 * mib},
		// Nine tenths, which large bodies may use, hold the 33 bodies of 4 MiB of one
		// example's usual traffic.
		{memoryBytes: 284 * mib, lowest: 37 * body, highest: 154 * mib},
		{memoryBytes: 536 * mib, lowest: 317 * mib, highest: 318 * mib},
	}
	for _, each := range cases {
		g := NewWithT(t)
		g.Expect(memory.LimitOf(each.memoryBytes)).To(And(BeNumerically(">=", each.lowest), BeNumerically("<=", each.highest)), "%d", each.memoryBytes)
	}
}

// TestBudgetWithoutLimit guards against refusals where the settings give no memory.
func TestBudgetWithoutLimit(t *testing.T) {
	g := NewWithT(t)
	budget := memory.NewBudget(0)
	account := budget.NewAccount()
	wait, err := account.HoldBody(1<<40, 1<<41, start)
	g.Expect(wait).To(BeNil())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(account.TryHold(memory.Response, 1<<40)).To(BeTrue())
	g.Expect(budget.Held(memory.Body)).To(Equal(int64(1 << 40)))
	account.Close(start)
	g.Expect(heldBytes(budget)).To(BeZero())
}

// TestBudgetKeepsItsLimit guards against bytes that are lost or counted twice, and against
// waits that never end, with bodies of all sizes that arrive, stop, are refused and end in any
// order.
func TestBudgetKeepsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		budget := memory.NewBudget(limit)
		now := start
		var senders []*sender
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				senders = append(senders, &sender{account: budget.NewAccount(), size: rapid.Int64Range(1, 20*mib).Draw(t, "size")})
			},
			"read": func(t *rapid.T) {
				for range rapid.IntRange(1, 40).Draw(t, "pieces") {
					for _, sender := range senders {
						if !sender.whole() && !sender.refused {
							sender.step(now)
						}
					}
				}
			},
			"respond": func(t *rapid.T) {
				if len(senders) > 0 {
					sender := senders[rapid.IntRange(0, len(senders)-1).Draw(t, "sender")]
					if sender.whole() {
						_ = sender.account.TryHold(memory.Response, rapid.Int64Range(1, mib).Draw(t, "bytes"))
						sender.account.Release(memory.Body, sender.size, now)
					}
				}
			},
			"end": func(t *rapid.T) {
				if len(senders) > 0 {
					index := rapid.IntRange(0, len(senders)-1).Draw(t, "sender")
					senders[index].refuse(now)
					senders = append(senders[:index], senders[index+1:]...)
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(*rapid.T) { g.Expect(heldBytes(budget)).To(BeNumerically("<=", limit)) },
		})
		for range 10_000 {
			now = now.Add(100 * time.Millisecond)
			open := false
			for _, sender := range senders {
				if !sender.whole() && !sender.refused {
					sender.step(now)
					open = true
				}
			}
			if !open {
				break
			}
		}
		for _, sender := range senders {
			g.Expect(sender.whole() || sender.refused).To(BeTrue(), "it is read or refused")
			sender.account.Close(now)
		}
		g.Expect(heldBytes(budget)).To(BeZero())
		g.Expect(budget.Waiting()).To(BeZero())
	})
}

// Guards against connections that keep bodies out, and against bodies that keep connections out.
func TestConnectionsAndBodiesLeaveRoomToEachOther(t *testing.T) {
	g := NewWithT(t)
	budget := memory.NewBudget(limit)
	bodies, conns := budget.NewAccount(), budget.NewAccount()
	for bodies.TryHold(memory.Stream, mib/16) {
	}
	count := 0
	for ; conns.TryHoldConnection(mib/16, 0); count++ {
	}
	g.Expect(float64(count)/16).To(BeNumerically("~", 3.0/13*16, 0.1), "MiB of connections beside a budget that is used up")

	bodies.Close(start)
	for ; conns.TryHoldConnection(mib/16, 0); count++ {
	}
	g.Expect(float64(count)/16).To(BeNumerically("~", (3.0/13+0.5)*16, 0.1), "MiB of connections where nothing else is held")
	g.Expect(bodies.TryHold(memory.Stream, 8*mib)).To(BeTrue(), "streams beside as many connections as possible")
	g.Expect(bodies.TryHold(memory.Stream, mib/4)).To(BeFalse())

	conns.Close(start)
	g.Expect(conns.TryHoldConnection(1, 12*mib)).To(BeFalse(), "a connection that would leave too little to others")
	g.Expect(budget.Held(memory.Connection)).To(BeZero())
}

// Guards against large heads that keep all others out.
func TestLargeHeadsLeaveRoomToSmallOnes(t *testing.T) {
	g := NewWithT(t)
	budget := memory.NewBudget(limit)
	large := 0
	for ; budget.NewAccount().TryHoldHead(memory.SmallHeadBytes + 1); large++ {
	}
	g.Expect(float64(large*memory.SmallHeadBytes)/mib).To(BeNumerically("~", 3.0/4*(3.0/13+0.5)*16, 0.1), "MiB of large heads")
	small := budget.NewAccount()
	g.Expect(small.TryHoldHead(memory.SmallHeadBytes)).To(BeTrue())
	g.Expect(small.TryHoldHead(0)).To(BeTrue())
	small.Close(start)
	g.Expect(budget.Held(memory.Head)).To(Equal(int64(large * (memory.SmallHeadBytes + 1))))
}
