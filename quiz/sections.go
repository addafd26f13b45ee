package quiz

import (
	"fmt"
	"strings"

	"github.com/basilkeel/basilkeel/config"
)

// Names of the sections in a file of answers.
const (
	sectionEngine   = "engine"
	sectionModels   = "models"
	sectionDelays   = "delays"
	sectionCalls    = "calls"
	sectionAccounts = "accounts"
)

func engineQuestions() []question[Engine] {
	return []question[Engine]{
		{
			name: "accelerators", ask: "How many accelerators are at hand?", fallback: "0", read: readInteger(func(engine *Engine) *int64 { return &engine.Accelerators }, 0),
			help: "All of the fleet that your models may use. 0 means not decided: the count is then only estimated.",
		},
		{
			name: "acceleratorGigabytes", ask: "How much memory has one accelerator, in gigabytes?", fallback: "80", read: readNumber(func(engine *Engine) *float64 { return &engine.AcceleratorGigabytes }, false),
			help: "Weights, adapters and KV cache of all copies on it must fit into 90 per cent of this.",
		},
		{
			name: "failureDomains", ask: "Over how many failure domains do they stand?", fallback: "3", read: readBounded(func(engine *Engine) *int64 { return &engine.FailureDomains }, 1, maxFailureDomains),
			help: "Zones or racks that fail together. The copies of a model stand in different ones.",
		},
		{
			name: "promptTokensPerSecond", ask: "How many prompt tokens a second does one accelerator read?", required: true, read: readNumber(func(engine *Engine) *float64 { return &engine.PromptTokensPerSecond }, false),
			help: "Measured on your engine with your models; it bounds the time to the first token.",
		},
		{
			name: "outputTokensPerSecond", ask: "How many output tokens a second does one accelerator write with a full batch?", required: true, read: readNumber(func(engine *Engine) *float64 { return &engine.OutputTokensPerSecond }, false),
			help: "The sum over all requests of the batch; it decides how many accelerators the traffic needs.",
		},
		{
			name: "streamTokensPerSecond", ask: "How many output tokens a second does one request get out of a full batch?", required: true, read: readNumber(func(engine *Engine) *float64 { return &engine.StreamTokensPerSecond }, false),
			help: "It bounds the time between two tokens and of a whole answer.",
		},
		{
			name: "utilizationPercent", ask: "How busy may accelerators be when all goes as expected, in per cent?", fallback: "70", read: readPercent(func(engine *Engine) *float64 { return &engine.UtilizationPercent }),
			help: "The rest is headroom for bursts, loads and failures. Waiting grows fast above 80.",
		},
	}
}

func modelQuestions() []question[ModelGroup] {
	hasAdapters := func(group *ModelGroup) bool { return len(group.Adapters) > 0 }
	return []question[ModelGroup]{
		{
			name: "names", ask: "Names of models that are alike?", required: true, read: readNames(func(group *ModelGroup) *[]string { return &group.Names }),
			help: "Separated by commas; notes-[01-05] stands for notes-01 to notes-05.",
		},
		{
			name: "weightGigabytes", ask: "How large are the weights of one, in gigabytes?", required: true, read: readNumber(func(group *ModelGroup) *float64 { return &group.WeightGigabytes }, false),
			help: "Accelerator memory that the weights take, as the engine reports it.",
		},
		{
			name: "cacheKilobytesPerToken", ask: "How much KV cache does one token take, in kilobytes?", fallback: "128", read: readNumber(func(group *ModelGroup) *float64 { return &group.CacheKilobytesPerToken }, false),
			help: "2 x layers x KV heads x head size x bytes of a value; the engine logs it at start.",
		},
		{
			name: "contextTokens", ask: "How many tokens of context does a request hold, at most?", fallback: "4096", read: readInteger(func(group *ModelGroup) *int64 { return &group.ContextTokens }, 1),
			help: "Prompt and output together. Longer requests have no model to run on.",
		},
		{
			name: "parallelRequests", ask: "How many requests does one copy serve at once?", fallback: "8", read: readInteger(func(group *ModelGroup) *int64 { return &group.ParallelRequests }, 1),
			help: "Memory is kept for this many requests of full context on each copy.",
		},
		{
			name: "copies", ask: "How many copies of each model?", fallback: "2", read: readBounded(func(group *ModelGroup) *int64 { return &group.Copies }, 1, maxFailureDomains),
			help: "Two copies in different failure domains keep a model reachable when one domain is lost.",
		},
		{
			name: "adapters", ask: "Names of the adapters of each?", fallback: "", read: readNames(func(group *ModelGroup) *[]string { return &group.Adapters }),
			help: "Separated by commas, ranges as before; nothing means none.",
		},
		{
			name: "adapterMegabytes", ask: "How large is one adapter, in megabytes?", fallback: "50", applies: hasAdapters, read: readNumber(func(group *ModelGroup) *float64 { return &group.AdapterMegabytes }, false),
			help: "Accelerator memory that one adapter takes.",
		},
	}
}

func callQuestions() []question[ServiceCall] {
	return []question[ServiceCall]{
		{
			name: "service", ask: "Name of the plain service?", required: true, read: readName(func(call *ServiceCall) *string { return &call.Service }),
			help: "Callers reach it below /svc/<name>/.",
		},
		{
			name: "method", ask: "HTTP method of the call, or any?", fallback: "any", read: readMethod,
			help: "Such as GET or POST.",
		},
		{
			name: "path", ask: "Path that the call begins with?", fallback: "/", read: readPath,
			help: "Of several calls that match, the one with the longest path decides.",
		},
		{
			name: "purpose", ask: "Is it an order or a lookup?", required: true, read: readPurpose,
			help: "An order changes something, such as a booking or a payment; a lookup only reads.",
		},
		{
			name: "repeatable", ask: "May the call be repeated?", fallback: "no", read: readBool(func(call *ServiceCall) *bool { return &call.Repeatable }),
			help: "Yes lets a failed call be tried again elsewhere. A call that may not be repeated runs at most once, ever.",
		},
		{
			name: "open", ask: "Is it open to all, without a key?", fallback: "no", read: readBool(func(call *ServiceCall) *bool { return &call.Open }),
			help: "Yes admits anyone, and nobody's rate is charged.",
		},
		{
			name: "tokens", ask: "How many tokens does a call take from the account's rate?", fallback: "0", read: readInteger(func(call *ServiceCall) *int64 { return &call.Tokens }, 0),
			help: "0 makes calls free; a positive number bounds how often an account can call.",
		},
	}
}

func readMethod(call *ServiceCall, text string) string {
	method := strings.ToUpper(text)
	switch {
	case method == "ANY":
		call.Method = ""
	case method == "" || strings.Trim(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "":
		return fmt.Sprintf("%q is no HTTP method, nor any", text)
	default:
		call.Method = method
	}
	return ""
}

func readPath(call *ServiceCall, text string) string {
	if !strings.HasPrefix(text, "/") || len(text) > config.MaxPathBytes {
		return fmt.Sprintf("%q does not start with / or is longer than %d bytes", text, config.MaxPathBytes)
	}
	call.Path = text
	return ""
}

func readPurpose(call *ServiceCall, text string) string {
	switch strings.ToLower(text) {
	case "order":
		call.Order = true
	case "lookup":
		call.Order = false
	default:
		return fmt.Sprintf("%q is neither order nor lookup", text)
	}
	return ""
}
