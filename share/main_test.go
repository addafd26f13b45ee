package share_test

import (
	"os"
	"testing"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/proof"
)

func TestMain(m *testing.M) { os.Exit(proof.Main(m)) }

var epoch = time.Unix(1_800_000_000, 0)

const notes = names.ClientAccount("notes")

// limits returns a policy with one account of 1000 tokens per second and a burst
// of 1000 tokens.
func limits() *policy.Snapshot {
	return policy.NewSnapshot(policy.SnapshotConfig{Version: 1, Accounts: []*policy.Account{
		{Name: notes, Rate: 1000, Burst: 1000, Unit: policy.UnitTokens},
	}})
}

func account(snapshot *policy.Snapshot) *policy.Account { return snapshot.Accounts()[0] }
