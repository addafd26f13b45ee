package share_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/share"
)

// BenchmarkPropose measures an update of the shares of 60 accounts in a fleet of 300 entries.
func BenchmarkPropose(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	divider := share.NewDivider(share.DividerConfig{Term: 1, Now: now, Record: share.Record{}})
	var accounts []names.ClientAccount
	for index := range 60 {
		accounts = append(accounts, names.ClientAccount(fmt.Sprintf("account-%02d", index)))
	}
	for entry := range 300 {
		usage := share.Amounts{}
		for _, account := range accounts {
			usage[account] = float64(entry % 7)
		}
		divider.Report(names.Instance(fmt.Sprintf("edge-%03d", entry)), share.State{Usage: usage}, now)
	}
	for b.Loop() {
		divider.Propose(accounts, now)
	}
}
