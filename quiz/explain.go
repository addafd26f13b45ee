package quiz

import (
	"fmt"
	"strings"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/config"
)

// defaultMaxOutput is the largest output that an entry admits unless set
// otherwise.
const defaultMaxOutput = 1024

// Explain tells in plain words what the answers lead to.
func (plan *Plan) Explain() string {
	explainer := &explainer{answers: &plan.answers, estimate: NewEstimate(&plan.answers), next: plan.next}
	explainer.accounts()
	explainer.delays()
	explainer.calls()
	explainer.copies()
	explainer.accelerators()
	explainer.keys(plan.keys)
	return explainer.String()
}

// FormatDifferences lists what the change alters.
func (plan *Plan) FormatDifferences() string {
	if len(plan.differences) == 0 {
		return fmt.Sprintf("Nothing differs from version %d, which is in force.\n", plan.current.Version())
	}
	var builder strings.Builder
	fmt.Fprintf(&builder, "Difference to version %d, which is in force:\n", plan.current.Version())
	for _, difference := range plan.differences {
		fmt.Fprintf(&builder, "%s %s\n", difference.Action, difference.Path)
		if difference.Before != "" {
			fmt.Fprintf(&builder, "  - %s\n", difference.Before)
		}
		if difference.After != "" {
			fmt.Fprintf(&builder, "  + %s\n", difference.After)
		}
	}
	return builder.String()
}

// explainer writes an explanation.
type explainer struct {
	strings.Builder
	answers  *Answers
	estimate Estimate
	// next is the configuration with the change.
	next *config.Snapshot
}

func (explainer *explainer) line(format string, values ...any) {
	fmt.Fprintf(&explainer.Builder, format+"\n", values...)
}

func (explainer *explainer) accounts() {
	explainer.line("Client accounts")
	total := int64(0)
	for _, account := range explainer.next.Accounts() {
		total += int64(account.Weight())
	}
	for i := range explainer.answers.Accounts {
		account := &explainer.answers.Accounts[i]
		rate, burst := explainer.answers.rate(account), explainer.answers.burst(account)
		if rate == 0 {
			explainer.line("  %s: its calls take no tokens, so its rate is 0 tokens/s.", account.Name)
		} else {
			explainer.line("  %s: %.0f tokens/s are expected, so its rate is %.0f tokens/s (%.0f%% more).",
				account.Name, explainer.answers.expectedRate(account), float64(rate), (rateFactor-1)*percent)
			explainer.line("    Its burst is %d tokens, %.1f of its largest requests. Above that it is refused, not run, and told when to try again.",
				burst, float64(burst)/float64(account.LargestTokens))
			explainer.burst(account, burst)
		}
		explainer.line("    Its weight is %d of the %d of all accounts: it gets at least %.1f%% where all want more than there is.",
			account.Weight, total, float64(account.Weight)/float64(total)*percent)
		explainer.cautions(account, burst)
	}
}

// burst tells how long a whole burst keeps the spare accelerators busy.
func (explainer *explainer) burst(account *Account, burst call.Tokens) {
	tokens, work := 0.0, 0.0
	for _, traffic := range account.traffics() {
		tokens += traffic.RequestsPerSecond * float64(traffic.tokens())
		work += traffic.RequestsPerSecond * explainer.answers.Engine.acceleratorSeconds(traffic)
	}
	spare := float64(explainer.estimate.Accelerators) - explainer.estimate.BusyAccelerators
	if tokens == 0 || spare <= 0 {
		return
	}
	explainer.line("    A whole burst of its average requests, beside the expected load, is worked off in about %v.",
		roundForDisplay(seconds(float64(burst)*work/tokens/spare)))
}

func (explainer *explainer) cautions(account *Account, burst call.Tokens) {
	if int64(burst) < minBurstRequests*account.LargestTokens {
		explainer.line("    Caution: a burst of fewer than %d of the largest requests is split over instances and refuses sooner than it must.", minBurstRequests)
	}
	if len(account.Keys) == 0 {
		explainer.line("    Caution: it has no key here; until it has one, only calls open to all work.")
	}
	for _, traffic := range account.traffics() {
		if traffic.RequestsPerSecond > 0 && traffic.OutputTokens > defaultMaxOutput {
			explainer.line("    Caution: answers of %d tokens exceed the entries' default --max-output-tokens of %d.", traffic.OutputTokens, defaultMaxOutput)
		}
	}
}

func (explainer *explainer) delays() {
	explainer.line("Objectives")
	for _, kind := range call.Kinds() {
		own := explainer.answers.Delays.ForKind(kind).objective()
		joined := explainer.next.Objective(kind)
		explainer.line("  %s: %s.", kind, describeObjective(joined))
		if joined != own {
			explainer.line("    What is in force for others is stricter in part, and is kept.")
		}
		if traffic, ok := explainer.answers.slowestTraffic(kind); ok {
			explainer.expectedTimes(traffic, joined)
		}
	}
	explainer.line("  Objectives hold for all client accounts. A request that cannot meet its own any more is refused early, not run.")
}

// expectedTimes compares what traffic is expected to see with its objective.
func (explainer *explainer) expectedTimes(traffic Traffic, objective call.Objective) {
	engine := &explainer.answers.Engine
	first, whole := explainer.estimate.firstToken(engine, traffic), explainer.estimate.whole(engine, traffic)
	explainer.line("    Expected on average: first token after %v, whole after %v, of which waiting %v.",
		roundForDisplay(first), roundForDisplay(whole), roundForDisplay(explainer.estimate.QueueWait))
	late := objective.FirstToken() > 0 && first > objective.FirstToken()
	late = late || (objective.Whole() > 0 && whole > objective.Whole())
	late = late || (objective.BetweenTokens() > 0 && seconds(1/engine.StreamTokensPerSecond) > objective.BetweenTokens())
	if late {
		explainer.line("    Caution: that is later than the objective; most of these requests would miss it or be refused.")
	}
}

// describeObjective puts an objective into words.
func describeObjective(objective call.Objective) string {
	var bounds []string
	if objective.FirstToken() > 0 {
		bounds = append(bounds, fmt.Sprintf("first token within %v", objective.FirstToken()))
	}
	if objective.BetweenTokens() > 0 {
		bounds = append(bounds, fmt.Sprintf("%v between tokens", objective.BetweenTokens()))
	}
	if objective.Whole() > 0 {
		bounds = append(bounds, fmt.Sprintf("whole within %v", objective.Whole()))
	}
	if len(bounds) == 0 {
		return "no bound"
	}
	return fmt.Sprintf("%s, in %g of 100 requests", strings.Join(bounds, ", "), objective.Share()*percent)
}

func (explainer *explainer) calls() {
	if len(explainer.answers.Calls) == 0 {
		return
	}
	explainer.line("Plain services")
	for _, call := range explainer.answers.Calls {
		method, repeat, who := call.Method, "runs at most once; after a failure of unknown outcome the caller is told so", "needs a key"
		if method == "" {
			method = "any method"
		}
		if call.Repeatable {
			repeat = "may be tried again elsewhere"
		}
		if call.Open {
			who = "open to all"
		}
		explainer.line("  %s %s%s: %s, %s, takes %d tokens.", method, call.Service, call.Path, repeat, who, call.Tokens)
		if call.Open && call.Order {
			explainer.line("    Caution: anyone can place this order.")
		}
	}
}

func (explainer *explainer) copies() {
	if len(explainer.answers.Models) == 0 {
		return
	}
	explainer.line("Models")
	for i := range explainer.answers.Models {
		group := &explainer.answers.Models[i]
		explainer.line("  %d like %s; copies of each, in different failure domains: %d.", len(group.Names), group.Names[0], group.Copies)
		explainer.line("    One copy: %s weights + %d adapters x %s + %d requests x %d tokens x %d bytes KV cache = %s.",
			formatGigabytes(group.weightBytes()), group.residentAdapters(), formatGigabytes(group.adapterBytes()), group.ParallelRequests,
			group.ContextTokens, group.cacheBytesPerToken(), formatGigabytes(group.copyBytes()))
		if group.Copies == 1 {
			explainer.line("    Caution: with one copy they cannot be reached while its failure domain is lost and until they are loaded elsewhere.")
		}
	}
}

func (explainer *explainer) accelerators() {
	estimate, engine := &explainer.estimate, &explainer.answers.Engine
	explainer.line("Accelerators")
	explainer.line("  By load: sum of requests/s x (prompt / %g + output / %g) = %.2f busy; / %g%% = %d.",
		engine.PromptTokensPerSecond, engine.OutputTokensPerSecond, estimate.BusyAccelerators, engine.UtilizationPercent, estimate.LoadAccelerators)
	explainer.line("  By memory: copies take %s, %s may be used of each; packed by failure domain %s = %d.",
		formatGigabytes(int64(estimate.CopyBytes)), formatGigabytes(estimate.UsableBytes), joinCounts(estimate.DomainAccelerators), estimate.MemoryAccelerators)
	explainer.line("  Expected count: %d, the larger.", estimate.Accelerators)
	explainer.line("  They are %.0f%% busy when all goes as expected.", estimate.Utilization*percent)
	if estimate.BusyAccelerators > 0 {
		explainer.domainLoss()
	}
	if engine.Accelerators > 0 && estimate.Accelerators > engine.Accelerators {
		explainer.line("  Caution: only %d are at hand. Objectives will be missed when all goes as expected; work that can wait is put off first.", engine.Accelerators)
	}
}

// domainLoss tells what becomes of the load when a failure domain is lost.
func (explainer *explainer) domainLoss() {
	switch lost := explainer.estimate.DegradedUtilization; {
	case explainer.answers.Engine.FailureDomains == 1:
		explainer.line("  Caution: all stand in one failure domain; nothing runs while it is lost.")
	case lost >= 1:
		explainer.line("  Caution: without the largest failure domain, the rest cannot carry the load; requests are refused by weight.")
	default:
		explainer.line("  Without the largest failure domain the rest is %.0f%% busy.", lost*percent)
	}
}

func (explainer *explainer) keys(keys []KeyRequest) {
	if len(keys) == 0 {
		return
	}
	explainer.line("Keys to issue, whose secrets are shown once")
	for _, key := range keys {
		explainer.line("  %s for %s", key.Name, key.Account)
	}
}

func formatGigabytes(bytes int64) string {
	return fmt.Sprintf("%.2f GB", float64(bytes)/bytesPerGigabyte)
}

func joinCounts(counts []int64) string {
	parts := make([]string, 0, len(counts))
	for _, count := range counts {
		parts = append(parts, fmt.Sprint(count))
	}
	return strings.Join(parts, " + ")
}

// roundForDisplay shortens a duration for readers.
func roundForDisplay(duration time.Duration) time.Duration {
	if duration < 10*time.Millisecond {
		return duration.Round(10 * time.Microsecond)
	}
	return duration.Round(time.Millisecond)
}
