package copies_test

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

// engineSpec returns an engine with memory for two large models, or for one large model
// and three small ones.
func engineSpec() *policy.Engine {
	spec := &policy.Engine{
		Slots: 48, WeightsMB: 83000, AdapterSlots: 2, LoadsPerSecond: 2, Models: map[names.Model]policy.Model{},
	}
	for _, name := range []names.Model{"a", "b", "c", "d", "e"} {
		spec.Models[name] = policy.Model{Name: name, WeightsMB: 34300, AdapterMB: 40, LoadTime: time.Second, DiskLoadTime: 500 * time.Millisecond, MemoryLoadTime: 300 * time.Millisecond, Adapters: 4}
	}
	for _, name := range []names.Model{"x", "y", "z"} {
		spec.Models[name] = policy.Model{Name: name, WeightsMB: 16100, AdapterMB: 14, LoadTime: time.Second}
	}
	return spec
}
