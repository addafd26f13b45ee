package share_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/share"
)

// largeFleet returns a divider that has the reports of 300 entries, a policy with 60 accounts, and
// the entries' state.
func largeFleet(now time.Time) (divider *share.Divider, snapshot *policy.Snapshot, state share.State) {
	divider = share.NewDivider(share.DividerConfig{Term: 1, Now: now, Record: share.Record{}})
	state = share.State{Usage: share.Amounts{}, Loans: share.Amounts{}}
	var accounts []*policy.Account
	for index := range 60 {
		account := &policy.Account{Name: names.ClientAccount(fmt.Sprintf("account-%02d", index)), Rate: 10_000, Burst: 20_000}
		accounts = append(accounts, account)
		state.Usage[account.Name] = float64(index)
	}
	for entry := range 300 {
		divider.Report(instanceAt(entry), state, now)
	}
	return divider, policy.NewSnapshot(policy.SnapshotConfig{Version: 1, Accounts: accounts}), state
}

func instanceAt(index int) names.Instance { return names.Instance(fmt.Sprintf("edge-%03d", index)) }

// BenchmarkPropose measures an update of the shares of 60 accounts in a fleet of 300 entries.
func BenchmarkPropose(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	divider, snapshot, _ := largeFleet(now)
	var accounts []names.ClientAccount
	for _, account := range snapshot.Accounts() {
		accounts = append(accounts, account.Name)
	}
	for b.Loop() {
		divider.Propose(accounts, now)
	}
}

// BenchmarkLendAhead measures the loans of 60 accounts in the reply to one report in that fleet,
// which sends 1,200 of them a second.
func BenchmarkLendAhead(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	divider, snapshot, state := largeFleet(now)
	lender := share.NewLender(divider)
	for index := 0; b.Loop(); index++ {
		now = now.Add(time.Second / 1200)
		divider.Report(instanceAt(index%300), state, now)
		lender.LendAhead(instanceAt(index%300), state, snapshot, now)
	}
}
