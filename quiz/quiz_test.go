package quiz_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/quiz"
)

func readExample(name string) []byte {
	encoded, err := os.ReadFile("../examples/quiz-" + name + ".json")
	Expect(err).NotTo(HaveOccurred())
	return encoded
}

// seededSnapshot returns a configuration that already contains objects of other
// teams.
func seededSnapshot() *config.Snapshot {
	return config.NewSnapshot(config.SnapshotConfig{
		Version:  7,
		Accounts: []config.ClientAccount{config.NewClientAccount(config.ClientAccountConfig{Name: "others", Rate: 10, Burst: 100, Weight: 1})},
		Keys: []config.Key{
			config.NewKey(config.KeyConfig{Name: "theirs", Account: "others", Hash: strings.Repeat("a", 64)}),
			config.NewKey(config.KeyConfig{Name: "gone", Account: "others", Hash: strings.Repeat("b", 64), Withdrawn: true}),
		},
		Models: []config.Model{config.NewModel(config.ModelConfig{
			Name: "notes-01", WeightBytes: 9e9, CacheBytesPerToken: 1000,
			Adapters: []config.Adapter{config.NewAdapter(config.AdapterConfig{Name: "of-others", WeightBytes: 5})},
		})},
		Routes: []config.Route{config.NewRoute(config.RouteConfig{Service: "other-desk", PathPrefix: "/", Kind: call.KindTransaction})},
		Objectives: map[call.Kind]call.Objective{
			call.KindVerdict: call.NewObjective(call.ObjectiveConfig{Whole: 1500 * time.Millisecond, Share: 0.9}),
		},
	})
}

func emptySnapshot() *config.Snapshot { return config.NewSnapshot(config.SnapshotConfig{}) }

// TestExamples decodes both example files and applies the resulting changes to an
// empty and to a seeded configuration.
func TestExamples(t *testing.T) {
	RegisterTestingT(t)
	for _, name := range []string{"vatuloa", "fachwerk"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			answers, err := quiz.Decode(readExample(name))
			g.Expect(err).NotTo(HaveOccurred())
			for state, current := range map[string]*config.Snapshot{"empty": emptySnapshot(), "seeded": seededSnapshot()} {
				plan, err := quiz.NewPlan(answers, current)
				g.Expect(err).NotTo(HaveOccurred())
				golden := goldie.New(t)
				golden.Assert(t, name+"-"+state+"-explanation", []byte(plan.Explain()+plan.FormatDifferences()))
				var change bytes.Buffer
				g.Expect(json.Indent(&change, config.EncodeChange(plan.Change()), "", "  ")).To(Succeed())
				golden.Assert(t, name+"-"+state+"-change", change.Bytes())
				decoded, err := config.DecodeChange(config.EncodeChange(plan.Change()))
				g.Expect(err).NotTo(HaveOccurred())
				next, err := config.Apply(current, config.Record{}, decoded)
				g.Expect(err).NotTo(HaveOccurred())
				again, err := quiz.NewPlan(answers, next)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(again.Differences()).To(BeEmpty())
			}
		})
	}
}

// TestChangeKeepsOtherTeamsConfiguration guards against a new team's change that
// removes or weakens what other teams have configured.
func TestChangeKeepsOtherTeamsConfiguration(t *testing.T) {
	RegisterTestingT(t)
	g := NewWithT(t)
	answers, err := quiz.Decode(readExample("vatuloa"))
	g.Expect(err).NotTo(HaveOccurred())
	plan, err := quiz.NewPlan(answers, seededSnapshot())
	g.Expect(err).NotTo(HaveOccurred())
	next, err := config.Apply(seededSnapshot(), config.Record{}, plan.Change())
	g.Expect(err).NotTo(HaveOccurred())
	model, _ := next.Model("notes-01")
	g.Expect(model.Adapters()).To(HaveLen(6))
	g.Expect(next.Objective(call.KindVerdict)).To(Equal(call.NewObjective(call.ObjectiveConfig{Whole: 1500 * time.Millisecond, Share: 0.95})))
	g.Expect(next.Keys()).To(ConsistOf(seededSnapshot().Keys()))
	_, ok := next.Account("others")
	g.Expect(ok).To(BeTrue())
	_, ok = next.Route("other-desk", "GET", "/x")
	g.Expect(ok).To(BeTrue())
}

func TestKeyConflicts(t *testing.T) {
	g := NewWithT(t)
	answers, err := quiz.Decode([]byte(smallFile(`"keys": ["theirs", "gone", "new"]`)))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = quiz.NewPlan(answers, seededSnapshot())
	var faultsError *quiz.FaultsError
	g.Expect(errors.As(err, &faultsError)).To(BeTrue())
	g.Expect(faultsError.Faults).To(ConsistOf(
		quiz.Fault{Question: "accounts/0/keys", Problem: "key theirs exists for client account others"},
		quiz.Fault{Question: "accounts/0/keys", Problem: "key gone is withdrawn; choose another name"},
	))
}

// smallFile returns a file with few answers. The text account holds further
// members of its only client account.
func smallFile(account string) string {
	return `{"engine": {"promptTokensPerSecond": 10000, "outputTokensPerSecond": 1000, "streamTokensPerSecond": 50},
"models": [{"names": "m", "weightGigabytes": 8}],
"accounts": [{"name": "a", "interactiveRequestsPerSecond": 1, ` + account + `}]}`
}

// TestWrongAnswers checks that all faults of a file are reported at once.
func TestWrongAnswers(t *testing.T) {
	golden := goldie.New(t)
	for _, name := range []string{"syntax", "answers", "together", "memory", "limits", "edits"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			encoded, err := os.ReadFile("testdata/wrong-" + name + ".json")
			g.Expect(err).NotTo(HaveOccurred())
			_, err = quiz.Decode(encoded)
			var faultsError *quiz.FaultsError
			g.Expect(errors.As(err, &faultsError)).To(BeTrue())
			golden.Assert(t, "wrong-"+name, []byte(faultsError.Error()+"\n"))
		})
	}
}

// TestSessions compares transcripts of whole sessions with golden files.
func TestSessions(t *testing.T) {
	golden := goldie.New(t)
	for _, name := range []string{"defaults", "help-back-wrong", "unfit"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			typed, err := os.ReadFile("testdata/session-" + name + ".txt")
			g.Expect(err).NotTo(HaveOccurred())
			session := quiz.NewSession()
			var transcript strings.Builder
			for line := range strings.Lines(string(typed)) {
				g.Expect(session.Done()).To(BeFalse(), transcript.String())
				transcript.WriteString(session.Prompt() + line + session.Enter(line))
			}
			g.Expect(session.Done()).To(BeTrue(), transcript.String()+session.Prompt())
			plan, err := quiz.NewPlan(session.Answers(), emptySnapshot())
			g.Expect(err).NotTo(HaveOccurred())
			golden.Assert(t, "session-"+name, []byte(transcript.String()+plan.Explain()+plan.FormatDifferences()))
		})
	}
}

// TestAcceptedAnswersApply draws random answers. For accepted ones, the change
// must apply, and a second plan on the result must have no differences.
func TestAcceptedAnswersApply(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		answers, err := quiz.Decode(drawFile(t))
		if err != nil {
			var faultsError *quiz.FaultsError
			if !errors.As(err, &faultsError) || len(faultsError.Faults) == 0 {
				t.Fatalf("no faults: %v", err)
			}
			return
		}
		accepted++
		for _, current := range []*config.Snapshot{emptySnapshot(), seededSnapshot()} {
			plan, err := quiz.NewPlan(answers, current)
			if err != nil {
				t.Fatal(err)
			}
			next, err := config.Apply(current, config.Record{}, plan.Change())
			if err != nil {
				t.Fatal(err)
			}
			again, err := quiz.NewPlan(answers, next)
			if err != nil {
				t.Fatal(err)
			}
			if differences := again.Differences(); len(differences) > 0 {
				t.Fatalf("differs when made again: %v", differences)
			}
			for _, account := range answers.Accounts {
				if made, ok := next.Account(names.ClientAccount(account.Name)); !ok || int64(made.Burst()) < account.LargestTokens {
					t.Fatalf("%s cannot send its largest request", account.Name)
				}
			}
			estimate := quiz.NewEstimate(&answers)
			if float64(estimate.Accelerators)*float64(estimate.UsableBytes) < estimate.CopyBytes || float64(estimate.Accelerators) < estimate.BusyAccelerators {
				t.Fatalf("too few accelerators: %+v", estimate)
			}
		}
	})
	t.Logf("%d sets of answers were accepted", accepted)
	if accepted == 0 {
		t.Fatal("no answers were accepted")
	}
}

func drawFile(t *rapid.T) []byte {
	models := []string{}
	for i := range rapid.IntRange(0, 3).Draw(t, "models") {
		models = append(models, fmt.Sprintf(`{"names": "notes-%02d, x%d-[1-%d]", "weightGigabytes": %d, "copies": %d, "adapters": "ad-[1-%d]", "contextTokens": %d}`,
			i+1, i, rapid.IntRange(1, 9).Draw(t, "alike"), rapid.IntRange(1, 80).Draw(t, "weight"), rapid.IntRange(1, 4).Draw(t, "copies"),
			rapid.IntRange(1, 20).Draw(t, "adapters"), rapid.IntRange(2000, 9000).Draw(t, "context")))
	}
	calls := []string{}
	for range rapid.IntRange(0, 4).Draw(t, "calls") {
		calls = append(calls, fmt.Sprintf(`{"service": %q, "path": %q, "purpose": %q, "repeatable": %v, "tokens": %d}`,
			rapid.SampledFrom([]string{"desk", "other-desk"}).Draw(t, "service"), rapid.StringMatching(`/[a-z]{0,5}`).Draw(t, "path"),
			rapid.SampledFrom([]string{"order", "lookup", "lookup"}).Draw(t, "purpose"), rapid.Bool().Draw(t, "repeatable"), rapid.IntRange(0, 50).Draw(t, "tokens")))
	}
	accounts := []string{}
	for i := range rapid.IntRange(0, 4).Draw(t, "accounts") {
		accounts = append(accounts, fmt.Sprintf(`{"name": "a%d", "weight": %d, "interactiveRequestsPerSecond": %g, "verdictRequestsPerSecond": %d, "verdictOutputTokens": 9, "largestTokens": %d, "burstTokens": %d, "keys": "k%d-[1-%d]"}`,
			i, rapid.IntRange(1, 9).Draw(t, "weight"), rapid.Float64Range(0.1, 90).Draw(t, "rate"), rapid.IntRange(0, 9).Draw(t, "verdicts"),
			rapid.IntRange(700, 3000).Draw(t, "largest"), rapid.SampledFrom([]int{0, 0, 2500, 90000}).Draw(t, "burst"), i, rapid.IntRange(1, 3).Draw(t, "keys")))
	}
	return fmt.Appendf(nil, `{"engine": {"promptTokensPerSecond": 9000, "outputTokensPerSecond": 1000, "streamTokensPerSecond": %d, "utilizationPercent": %d},
"models": [%s], "calls": [%s], "accounts": [%s], "delays": {"verdictWhole": "%dms"}}`,
		rapid.IntRange(20, 80).Draw(t, "stream"), rapid.IntRange(30, 97).Draw(t, "utilization"), strings.Join(models, ","), strings.Join(calls, ","),
		strings.Join(accounts, ","), rapid.IntRange(100, 5000).Draw(t, "verdict"))
}

// FuzzDecode looks for files that make Decode panic, or that it accepts although
// their configuration is not valid.
func FuzzDecode(f *testing.F) {
	RegisterTestingT(f)
	f.Add(readExample("vatuloa"))
	f.Add(readExample("fachwerk"))
	f.Add([]byte(smallFile(`"keys": "k-[001-003]"`)))
	f.Add([]byte(`{"engine": [], "models": {}, "x": 1}`))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		answers, err := quiz.Decode(encoded)
		if err != nil {
			return
		}
		plan, err := quiz.NewPlan(answers, emptySnapshot())
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(plan.Explain(), "Expected count") {
			t.Fatal("no count")
		}
	})
}
