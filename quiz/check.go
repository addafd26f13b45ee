package quiz

import (
	"errors"
	"fmt"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/config"
)

// maxAdapters bounds the total number of adapters of all models.
const maxAdapters = 20_000

// Check returns the faults of answers that are valid one by one but contradict
// each other or cannot be served.
func Check(answers Answers) []Fault {
	checker := &checker{answers: &answers, names: map[string]bool{}}
	checker.checkEngine()
	checker.checkModels()
	checker.checkDelays()
	checker.checkCalls()
	checker.checkAccounts()
	if len(checker.faults) == 0 {
		checker.checkConfiguration()
	}
	if len(checker.faults) == 0 {
		checker.checkFleet()
	}
	return checker.faults
}

// checker collects the faults of answers.
type checker struct {
	answers *Answers
	names   map[string]bool
	faults  []Fault
}

// faultIf adds a fault if wrong is true.
func (checker *checker) faultIf(wrong bool, path, format string, values ...any) {
	if wrong {
		checker.faults = append(checker.faults, Fault{Question: path, Problem: fmt.Sprintf(format, values...)})
	}
}

// checkUnique adds a fault if the name was already used for the same sort of
// object.
func (checker *checker) checkUnique(sort, name, path string) {
	key := sort + " " + name
	checker.faultIf(checker.names[key], path, "%s %s appears twice", sort, name)
	checker.names[key] = true
}

func (checker *checker) checkEngine() {
	engine := &checker.answers.Engine
	checker.faultIf(engine.StreamTokensPerSecond > engine.OutputTokensPerSecond, "engine/streamTokensPerSecond",
		"is more than outputTokensPerSecond of the whole batch (%g)", engine.OutputTokensPerSecond)
	checker.faultIf(engine.UtilizationPercent > maxUtilizationPercent, "engine/utilizationPercent",
		"leaves no headroom; waiting grows without bound, take %d at most", maxUtilizationPercent)
}

func (checker *checker) checkModels() {
	engine := &checker.answers.Engine
	models, adapters := 0, 0
	for i := range checker.answers.Models {
		group := &checker.answers.Models[i]
		path := fmt.Sprintf("models/%d/", i)
		models += len(group.Names)
		adapters += len(group.Names) * len(group.Adapters)
		for _, name := range group.Names {
			checker.checkUnique("model", name, path+"names")
		}
		checker.faultIf(len(group.Names) == 0, path+"names", "names no model")
		checker.faultIf(group.Copies > engine.FailureDomains, path+"copies",
			"%d copies do not fit into different failure domains, of which there are %d", group.Copies, engine.FailureDomains)
		bytes := group.copyBytes()
		checker.faultIf(bytes > engine.usableBytes(), path+"weightGigabytes",
			"one copy takes %s with its adapters and KV cache, more than the %s that may be used of one accelerator; lower parallelRequests or contextTokens, or take larger accelerators",
			formatGigabytes(bytes), formatGigabytes(engine.usableBytes()))
	}
	checker.faultIf(models > config.MaxEdits, "models", "has %d models, more than the %d of one change", models, config.MaxEdits)
	checker.faultIf(adapters > maxAdapters, "models", "has %d adapters in all, more than %d", adapters, maxAdapters)
}

func (checker *checker) checkDelays() {
	engine, delays := &checker.answers.Engine, &checker.answers.Delays
	gap := seconds(1 / engine.StreamTokensPerSecond)
	between := delays.Interactive.BetweenTokens
	checker.faultIf(between > 0 && between < gap, "delays/interactiveBetweenTokens",
		"%v is less than the %v that the engine takes for a token; no request could keep it", between, roundForDisplay(gap))
	for _, kind := range call.Kinds() {
		delay := delays.ForKind(kind)
		path := "delays/" + kind.String()
		checker.faultIf(delay.Whole > 0 && delay.Whole < delay.FirstToken, path+"Whole",
			"%v is less than the %v allowed for the first token", delay.Whole, delay.FirstToken)
		prompt, whole := checker.slowestTimes(kind)
		checker.faultIf(delay.FirstToken > 0 && delay.FirstToken < prompt, path+"FirstToken",
			"%v is less than the %v that the engine takes to read an average prompt", delay.FirstToken, roundForDisplay(prompt))
		checker.faultIf(delay.Whole > 0 && delay.Whole < whole, path+"Whole",
			"%v is less than the %v that the engine takes for an average answer", delay.Whole, roundForDisplay(whole))
	}
}

// slowestTimes returns the longest times, over all accounts, that an idle engine
// takes to process the prompt and to complete an average request of kind.
func (checker *checker) slowestTimes(kind call.Kind) (prompt, whole time.Duration) {
	for i := range checker.answers.Accounts {
		traffic := checker.answers.Accounts[i].traffic(kind)
		if traffic.RequestsPerSecond == 0 {
			continue
		}
		prompt = max(prompt, checker.answers.Engine.promptTime(traffic))
		whole = max(whole, checker.answers.Engine.wholeTime(traffic))
	}
	return prompt, whole
}

func (checker *checker) checkCalls() {
	for i, call := range checker.answers.Calls {
		path := fmt.Sprintf("calls/%d/", i)
		checker.checkUnique("call", call.Service+" "+call.Method+" "+call.Path, path+"path")
		checker.faultIf(call.Order && call.Repeatable, path+"repeatable",
			"an order that is repeated is booked twice; answer no, or lookup if it changes nothing")
		checker.faultIf(call.Open && call.Tokens > 0, path+"tokens", "a call open to all has no account to take tokens from")
	}
}

func (checker *checker) checkAccounts() {
	context := checker.answers.longestContext()
	for i := range checker.answers.Accounts {
		account := &checker.answers.Accounts[i]
		path := fmt.Sprintf("accounts/%d/", i)
		checker.checkUnique("client account", account.Name, path+"name")
		for _, key := range account.Keys {
			checker.checkUnique("key", key, path+"keys")
		}
		requests := account.requestsPerSecond()
		checker.faultIf(requests == 0 && account.CallsPerSecond == 0, path+"interactiveRequestsPerSecond",
			"no requests and no calls are expected; the account's rate would be 0")
		checker.faultIf(requests > 0 && len(checker.answers.Models) == 0, path+"interactiveRequestsPerSecond", "there is no model for these requests")
		checker.faultIf(account.CallsPerSecond > 0 && len(checker.answers.Calls) == 0, path+"callsPerSecond", "there is no plain service for these calls")
		for _, traffic := range account.traffics() {
			checker.faultIf(traffic.tokens() > account.LargestTokens, path+"largestTokens",
				"%d is less than the %d of an average request", account.LargestTokens, traffic.tokens())
		}
		checker.faultIf(requests > 0 && context > 0 && account.LargestTokens > context, path+"largestTokens",
			"%d is more than the longest context of any model, %d", account.LargestTokens, context)
		checker.faultIf(account.BurstTokens > 0 && account.BurstTokens < account.LargestTokens, path+"burstTokens",
			"%d is less than the largest request's %d; such a request could never be admitted", account.BurstTokens, account.LargestTokens)
		checker.faultIf(account.BurstTokens > 0 && account.BurstTokens < checker.answers.largestCallTokens(), path+"burstTokens",
			"%d is less than a call takes, %d", account.BurstTokens, checker.answers.largestCallTokens())
	}
}

// checkFleet compares the accelerators that are needed with the available ones.
func (checker *checker) checkFleet() {
	estimate := NewEstimate(checker.answers)
	checker.faultIf(estimate.LoadAccelerators > maxAccelerators, "accounts",
		"the requests take more than %d accelerators; look for a number that is too large", maxAccelerators)
	limit := checker.answers.Engine.Accelerators
	checker.faultIf(limit > 0 && estimate.MemoryAccelerators > limit, "engine/accelerators",
		"all copies take the memory of %d accelerators, more than the %d at hand; lower copies, parallelRequests or contextTokens", estimate.MemoryAccelerators, limit)
}

// checkConfiguration validates the configuration that results if the answers are
// applied to an empty one.
func (checker *checker) checkConfiguration() {
	empty := config.NewSnapshot(config.SnapshotConfig{})
	_, err := config.Apply(empty, config.Record{}, NewChange(checker.answers, empty))
	var validationError *config.ValidationError
	if errors.As(err, &validationError) {
		for _, fault := range validationError.Faults {
			checker.faultIf(true, fault.Path, "%s", fault.Problem)
		}
	}
}
