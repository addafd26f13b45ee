package quiz

import (
	"fmt"
	"strings"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/config"
)

// defaultMaxOutput is the entries' default limit of output tokens per request.
const defaultMaxOutput = 1024

// Explain returns a description for readers of the configuration and the
// accelerator count that follow from the answers.
func (plan *Plan) Explain() string {
	builder := &explanation{answers: &plan.answers, estimate: NewEstimate(&plan.answers), next: plan.next}
	builder.accounts()
	builder.delays()
	builder.calls()
	builder.copies()
	builder.accelerators()
	builder.keys(plan.keys)
	return builder.String()
}

// FormatDifferences returns a list for readers of what the change alters.
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

// explanation builds the text of an explanation.
type explanation struct {
	strings.Builder
	answers  *Answers
	estimate Estimate
	// next is the configuration after the change.
	next *config.Snapshot
}

func (explanation *explanation) line(format string, values ...any) {
	fmt.Fprintf(&explanation.Builder, format+"\n", values...)
}

func (explanation *explanation) accounts() {
	explanation.line("Client accounts")
	total := int64(0)
	for _, account := range explanation.next.Accounts() {
		total += int64(account.Weight())
	}
	for i := range explanation.answers.Accounts {
		account := &explanation.answers.Accounts[i]
		rate, burst := explanation.answers.rate(account), explanation.answers.burst(account)
		if rate == 0 {
			explanation.line("  %s: its calls take no tokens, so its rate is 0 tokens/s.", account.Name)
		} else {
			explanation.line("  %s: %.0f tokens/s are expected, so its rate is %.0f tokens/s (%.0f%% more).",
				account.Name, explanation.answers.expectedRate(account), float64(rate), (rateFactor-1)*percent)
			explanation.line("    Its burst is %d tokens, %.1f of its largest requests. Above that it is refused, not run, and told when to try again.",
				burst, float64(burst)/float64(account.LargestTokens))
			explanation.burst(account, burst)
		}
		explanation.line("    Its weight is %d of the %d of all accounts: it gets at least %.1f%% where all want more than there is.",
			account.Weight, total, float64(account.Weight)/float64(total)*percent)
		explanation.cautions(account, burst)
	}
}

// burst explains how long a whole burst keeps the spare accelerators busy.
func (explanation *explanation) burst(account *Account, burst call.Tokens) {
	tokens, work := 0.0, 0.0
	for _, traffic := range account.traffics() {
		tokens += traffic.RequestsPerSecond * float64(traffic.tokens())
		work += traffic.RequestsPerSecond * explanation.answers.Engine.acceleratorSeconds(traffic)
	}
	spare := float64(explanation.estimate.Accelerators) - explanation.estimate.BusyAccelerators
	if tokens == 0 || spare <= 0 {
		return
	}
	explanation.line("    A whole burst of its average requests, beside the expected load, is worked off in about %v.",
		roundForDisplay(seconds(float64(burst)*work/tokens/spare)))
}

func (explanation *explanation) cautions(account *Account, burst call.Tokens) {
	if int64(burst) < minBurstRequests*account.LargestTokens {
		explanation.line("    Caution: a burst of fewer than %d of the largest requests is split over instances and refuses sooner than it must.", minBurstRequests)
	}
	if len(account.Keys) == 0 {
		explanation.line("    Caution: it has no key here; until it has one, only calls open to all work.")
	}
	for _, traffic := range account.traffics() {
		if traffic.RequestsPerSecond > 0 && traffic.OutputTokens > defaultMaxOutput {
			explanation.line("    Caution: answers of %d tokens exceed the entries' default --max-output-tokens of %d.", traffic.OutputTokens, defaultMaxOutput)
		}
	}
}

func (explanation *explanation) delays() {
	explanation.line("Objectives")
	for _, kind := range call.Kinds() {
		own := explanation.answers.Delays.ForKind(kind).objective()
		joined := explanation.next.Objective(kind)
		explanation.line("  %s: %s.", kind, describeObjective(joined))
		if joined != own {
			explanation.line("    What is in force for others is stricter in part, and is kept.")
		}
		if traffic, ok := explanation.answers.slowestTraffic(kind); ok {
			explanation.expectedTimes(traffic, joined)
		}
	}
	explanation.line("  Objectives hold for all client accounts. A request that cannot meet its own any more is refused early, not run.")
}

// expectedTimes compares the expected times of traffic with its objective.
func (explanation *explanation) expectedTimes(traffic Traffic, objective call.Objective) {
	engine := &explanation.answers.Engine
	first, whole := explanation.estimate.firstToken(engine, traffic), explanation.estimate.whole(engine, traffic)
	explanation.line("    Expected on average: first token after %v, whole after %v, of which waiting %v.",
		roundForDisplay(first), roundForDisplay(whole), roundForDisplay(explanation.estimate.QueueWait))
	late := objective.FirstToken() > 0 && first > objective.FirstToken()
	late = late || (objective.Whole() > 0 && whole > objective.Whole())
	late = late || (objective.BetweenTokens() > 0 && seconds(1/engine.StreamTokensPerSecond) > objective.BetweenTokens())
	if late {
		explanation.line("    Caution: that is later than the objective; most of these requests would miss it or be refused.")
	}
}

// describeObjective returns an objective in words.
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

func (explanation *explanation) calls() {
	if len(explanation.answers.Calls) == 0 {
		return
	}
	explanation.line("Plain services")
	for _, call := range explanation.answers.Calls {
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
		explanation.line("  %s %s%s: %s, %s, takes %d tokens.", method, call.Service, call.Path, repeat, who, call.Tokens)
		if call.Open && call.Order {
			explanation.line("    Caution: anyone can place this order.")
		}
	}
}

func (explanation *explanation) copies() {
	if len(explanation.answers.Models) == 0 {
		return
	}
	explanation.line("Models")
	for i := range explanation.answers.Models {
		group := &explanation.answers.Models[i]
		explanation.line("  %d like %s; copies of each, in different failure domains: %d.", len(group.Names), group.Names[0], group.Copies)
		explanation.line("    One copy: %s weights + %d adapters x %s + %d requests x %d tokens x %d bytes KV cache = %s.",
			formatGigabytes(group.weightBytes()), group.residentAdapters(), formatGigabytes(group.adapterBytes()), group.ParallelRequests,
			group.ContextTokens, group.cacheBytesPerToken(), formatGigabytes(group.copyBytes()))
		if group.Copies == 1 {
			explanation.line("    Caution: with one copy they cannot be reached while its failure domain is lost and until they are loaded elsewhere.")
		}
	}
}

func (explanation *explanation) accelerators() {
	estimate, engine := &explanation.estimate, &explanation.answers.Engine
	explanation.line("Accelerators")
	explanation.line("  By load: sum of requests/s x (prompt / %g + output / %g) = %.2f busy; / %g%% = %d.",
		engine.PromptTokensPerSecond, engine.OutputTokensPerSecond, estimate.BusyAccelerators, engine.UtilizationPercent, estimate.LoadAccelerators)
	explanation.line("  By memory: copies take %s, %s may be used of each; packed by failure domain %s = %d.",
		formatGigabytes(int64(estimate.CopyBytes)), formatGigabytes(estimate.UsableBytes), joinCounts(estimate.DomainAccelerators), estimate.MemoryAccelerators)
	explanation.line("  Expected count: %d, the larger.", estimate.Accelerators)
	explanation.line("  They are %.0f%% busy when all goes as expected.", estimate.Utilization*percent)
	if estimate.BusyAccelerators > 0 {
		explanation.domainLoss()
	}
	if engine.Accelerators > 0 && estimate.Accelerators > engine.Accelerators {
		explanation.line("  Caution: only %d are at hand. Objectives will be missed when all goes as expected; work that can wait is put off first.", engine.Accelerators)
	}
}

// domainLoss explains how the loss of the largest failure domain affects the
// load.
func (explanation *explanation) domainLoss() {
	switch lost := explanation.estimate.DegradedUtilization; {
	case explanation.answers.Engine.FailureDomains == 1:
		explanation.line("  Caution: all stand in one failure domain; nothing runs while it is lost.")
	case lost >= 1:
		explanation.line("  Caution: without the largest failure domain, the rest cannot carry the load; requests are refused by weight.")
	default:
		explanation.line("  Without the largest failure domain the rest is %.0f%% busy.", lost*percent)
	}
}

func (explanation *explanation) keys(keys []KeyRequest) {
	if len(keys) == 0 {
		return
	}
	explanation.line("Keys to issue, whose secrets are shown once")
	for _, key := range keys {
		explanation.line("  %s for %s", key.Name, key.Account)
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

// roundForDisplay rounds a duration to milliseconds, or to 10 microseconds if it
// is below 10 ms.
func roundForDisplay(duration time.Duration) time.Duration {
	if duration < 10*time.Millisecond {
		return duration.Round(10 * time.Microsecond)
	}
	return duration.Round(time.Millisecond)
}
