package config_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/proof"
)

func TestMain(m *testing.M) { os.Exit(proof.Main(m)) }

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	proof.Suite(t, "config")
}

func account(name string) config.ClientAccount {
	return config.NewClientAccount(config.ClientAccountConfig{Name: names.ClientAccount(name), Rate: 100, Burst: 500, Weight: 1})
}

func key(name, owner string) config.Key {
	hash := fmt.Sprintf("%064x", []byte(name))
	return config.NewKey(config.KeyConfig{Name: names.Key(name), Account: names.ClientAccount(owner), Hash: hash[len(hash)-64:]})
}

func model(name string, adapters int) config.Model {
	modelConfig := config.ModelConfig{Name: names.Model(name), WeightBytes: 1 << 33, CacheBytesPerToken: 1 << 17}
	for i := range adapters {
		adapterName := names.Adapter(fmt.Sprintf("adapter-%03d", i))
		modelConfig.Adapters = append(modelConfig.Adapters, config.NewAdapter(config.AdapterConfig{Name: adapterName, WeightBytes: 1 << 25}))
	}
	return config.NewModel(modelConfig)
}

var _ = Describe("validation", func() {
	It("reports every fault of a snapshot", func() {
		snapshot := config.NewSnapshot(config.SnapshotConfig{
			Accounts: []config.ClientAccount{
				account("desk"), account("desk"), account("bad name"),
				config.NewClientAccount(config.ClientAccountConfig{Name: "free", Rate: -1, Burst: -1}),
			},
			Keys: []config.Key{
				key("one", "desk"),
				key("two", "nobody"),
				config.NewKey(config.KeyConfig{Name: "three", Account: "desk", Hash: "secret"}),
				config.NewKey(config.KeyConfig{Name: "four", Account: "desk", Hash: key("one", "").Hash()}),
			},
			Models: []config.Model{config.NewModel(config.ModelConfig{Name: names.Model(strings.Repeat("m", 129))})},
			Routes: []config.Route{config.NewRoute(config.RouteConfig{Service: "orders", Method: "post", PathPrefix: "x", Tokens: -1})},
			Objectives: map[call.Kind]call.Objective{
				call.KindBatch: call.NewObjective(call.ObjectiveConfig{Whole: -1, Share: 2}),
			},
			SigningKeys: []config.SigningKey{config.NewSigningKey(config.SigningKeyConfig{ID: "s"})},
		})
		var validationError *config.ValidationError
		Expect(errors.As(config.Validate(snapshot), &validationError)).To(BeTrue())
		var paths []string
		for _, fault := range validationError.Faults {
			paths = append(paths, fault.Path)
		}
		Expect(paths).To(ConsistOf(
			"accounts/desk", "accounts/bad name", "accounts/free/rate", "accounts/free/burst", "accounts/free/weight",
			"keys/two/account", "keys/three/hash", "keys/four/hash",
			"models/"+strings.Repeat("m", 129), "models/"+strings.Repeat("m", 129)+"/weightBytes",
			"models/"+strings.Repeat("m", 129)+"/cacheBytesPerToken",
			"routes/0/method", "routes/0/pathPrefix", "routes/0/kind", "routes/0/tokens",
			"objectives/batch", "objectives/batch/share", "signingKeys/s/verifyUntil",
		))
	})

	It("refuses what cannot be applied", func() {
		empty := config.NewSnapshot(config.SnapshotConfig{})
		withdrawn, err := config.Apply(empty, config.Record{}, config.Change{ID: "c", Edits: []config.Edit{
			config.PutAccount{Account: account("desk")}, config.PutKey{Key: key("one", "desk")}, config.WithdrawKey{Name: "one"},
		}})
		Expect(err).NotTo(HaveOccurred())
		last := config.Record{ChangeID: "other", Operator: "ana", Version: 1}
		cases := []struct {
			name   string
			change config.Change
			want   string
		}{
			{"no id", config.Change{Expected: 1, Edits: []config.Edit{config.RemoveKey{Name: "one"}}}, "changeId"},
			{"no edits", config.Change{ID: "c", Expected: 1}, "edits"},
			{"a withdrawn key comes back", config.Change{ID: "c", Expected: 1, Edits: []config.Edit{config.PutKey{Key: key("one", "desk")}}}, "keys/one"},
			{"an account with keys", config.Change{ID: "c", Expected: 1, Edits: []config.Edit{config.RemoveAccount{Name: "desk"}}}, "keys/one/account"},
			{"an unknown model", config.Change{ID: "c", Expected: 1, Edits: []config.Edit{config.PutAdapter{Model: "m"}}}, "models/m"},
			{"a race", config.Change{ID: "c", Edits: []config.Edit{config.RemoveKey{Name: "one"}}}, `change "other" of operator "ana" made version 1`},
		}
		for _, each := range cases {
			_, err := config.Apply(withdrawn, last, each.change)
			Expect(err).To(MatchError(ContainSubstring(each.want)), each.name)
		}
	})
})

func TestCodecsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := config.NewSnapshot(config.SnapshotConfig{})
		for version := range config.Version(rapid.IntRange(1, 8).Draw(t, "changes")) {
			change := config.Change{ID: "c", Operator: "ana", Expected: version, Edits: []config.Edit{drawEdit(t)}}
			decoded, err := config.DecodeChange(config.EncodeChange(change))
			if err != nil || fmt.Sprintf("%v", decoded) != fmt.Sprintf("%v", change) {
				t.Fatalf("change %v decodes as %v: %v", change, decoded, err)
			}
			next, err := config.Apply(snapshot, config.Record{}, decoded)
			if err != nil {
				return
			}
			if len(config.Diff(next, next)) != 0 {
				t.Fatal("a snapshot differs from itself")
			}
			snapshot = next
		}
		decoded, err := config.DecodeSnapshot(config.EncodeSnapshot(snapshot))
		if err != nil {
			t.Fatal(err)
		}
		if differences := config.Diff(snapshot, decoded); len(differences) > 0 || decoded.Version() != snapshot.Version() {
			t.Fatalf("round trip changed the version or these parts: %v", differences)
		}
	})
}

// drawEdit draws an edit. It uses few names, so that edits affect the same
// parts.
func drawEdit(t *rapid.T) config.Edit {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	switch rapid.IntRange(0, 8).Draw(t, "edit") {
	case 0:
		return config.RemoveAccount{Name: names.ClientAccount(name)}
	case 1:
		return config.PutKey{Key: key("key-"+name, name)}
	case 2:
		return config.WithdrawKey{Name: names.Key("key-" + name)}
	case 3:
		return config.PutModel{Model: model(name, 2)}
	case 4:
		return config.RemoveAdapter{Model: names.Model(name), Name: "adapter-001"}
	case 5:
		route := config.NewRoute(config.RouteConfig{Service: names.Service(name), PathPrefix: "/", Kind: call.KindTransaction, Open: true})
		return config.PutRoutes{Service: names.Service(name), Routes: []config.Route{route}}
	case 6:
		return config.PutObjective{Kind: call.KindBatch, Objective: call.NewObjective(call.ObjectiveConfig{Whole: 1e9, Share: 0.5})}
	default:
		return config.PutAccount{Account: account(name)}
	}
}
