package sched

import (
	"math"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/pool"
)

const (
	// maxPromptTokens and maxOutputTokens bound what a caller may state, maxAccountTokens
	// what a request counts against its account. Without them one request would reserve an engine for hours.
	maxPromptTokens  = 200_000
	maxOutputTokens  = 1_000_000
	maxAccountTokens = 10_000_000
	// maxRequestTime bounds the times of a request.
	maxRequestTime = time.Hour
	// maxReserved bounds for how long an engine's intake is reserved in all. A single prompt
	// is not reserved for longer, however slow the engine is at this moment.
	maxReserved = 10 * time.Second
	// maxEntryLoad is the largest plausible number of an entry's requests on an engine.
	// Engines have 32 or 48 slots.
	maxEntryLoad = 10_000
	// maxReportEvents is the largest plausible number of events in a report. An engine of 48
	// slots sends about 1,600 a second, and an entry collects them while it has no coordinator.
	maxReportEvents = 100_000
)

// plausible returns a request whose figures are bounded.
func plausible(request Request, cacheTokens int64) Request {
	largest := int64(maxPromptTokens)
	if cacheTokens > 0 {
		largest = min(largest, cacheTokens)
	}
	request.PromptTokens = min(max(request.PromptTokens, 0), largest)
	request.OutputTokens = min(max(request.OutputTokens, 0), maxOutputTokens)
	if request.Tokens = min(max(request.Tokens, 0), maxAccountTokens); math.IsNaN(request.Tokens) {
		request.Tokens = 0
	}
	request.Elapsed = min(max(request.Elapsed, 0), maxRequestTime)
	request.Left = min(max(request.Left, 0), maxRequestTime)
	request.Objective = min(max(request.Objective, 0), maxRequestTime)
	request.Parts = request.Parts[:min(len(request.Parts), maxCachedParts)]
	if slices.ContainsFunc(request.Parts, func(part Part) bool { return part.Tokens < 0 || part.Tokens > maxPromptTokens }) {
		request.Parts = nil
	}
	return request
}

// plausibleLoad returns the number of an entry's requests on an engine, zero if it is
// implausible.
func plausibleLoad(loads map[names.BackendServer]int, server names.BackendServer) int {
	if load := loads[server]; load > 0 && load <= maxEntryLoad {
		return load
	}
	return 0
}

// plausibleEvents reports whether the events of a use are plausible.
func plausibleEvents(use *pool.EngineUse) bool {
	return use.Events >= 0 && use.Events <= maxReportEvents &&
		use.EventMilliseconds >= 0 && use.EventMilliseconds <= float64(use.Events)*maxEventMilliseconds
}

// plausibleSlowdown reports whether a slowdown is plausible.
func plausibleSlowdown(slowdown pool.Slowdown, now time.Time) bool {
	return slowdown.Factor >= minSlowdown && slowdown.Factor <= maxSlowdown && !slowdown.At.After(now)
}
