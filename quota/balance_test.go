package quota

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/call"
)

func TestPauseOnlyIfRefusalsAreRare(t *testing.T) {
	cases := []struct {
		name     string
		patience time.Duration
		tokens   call.Tokens
		refused  time.Duration
		want     bool
	}{
		{name: "tokens are about to come", patience: 250 * time.Millisecond, tokens: 100, refused: -time.Minute, want: true},
		{name: "no patience", tokens: 100, refused: -time.Minute},
		{name: "tokens are far off", patience: 10 * time.Millisecond, tokens: 100, refused: -time.Minute},
		{name: "more than the burst", patience: 250 * time.Millisecond, tokens: 301, refused: -time.Minute},
		{name: "others are being refused", patience: 250 * time.Millisecond, tokens: 100, refused: -time.Second / 2},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := NewWithT(t)
			balance := NewBalance(BalanceConfig{Account: fuzzAccount, MaxPause: each.patience})
			balance.NoteRefusal(at(each.refused))
			_, got := balance.Pause(at(0), each.tokens, portionLimit.limit)
			g.Expect(got).To(Equal(each.want))
		})
	}
}
