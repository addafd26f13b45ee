package quiz

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/basilkeel/basilkeel/call"
)

// Estimate is the number of accelerators that a fleet needs, with the figures
// that it is derived from.
type Estimate struct {
	// BusyAccelerators is the mean number of accelerators that the expected load
	// keeps busy.
	BusyAccelerators float64
	// LoadAccelerators is the number needed for the load, MemoryAccelerators the
	// number needed for the copies, and Accelerators the larger one.
	LoadAccelerators   int64
	MemoryAccelerators int64
	Accelerators       int64
	// CopyBytes is the memory of all copies. UsableBytes is the memory of one
	// accelerator that copies may use.
	CopyBytes   float64
	UsableBytes int64
	// DomainAccelerators is the number needed for the copies in each failure
	// domain.
	DomainAccelerators []int64
	// Utilization is the expected load divided by the capacity of Accelerators.
	// DegradedUtilization is the same without the largest failure domain.
	Utilization         float64
	DegradedUtilization float64
	// QueueWait is the mean time that a request waits for an accelerator.
	QueueWait time.Duration
}

// NewEstimate returns the estimate for answers.
func NewEstimate(answers *Answers) Estimate {
	estimate := Estimate{UsableBytes: answers.Engine.usableBytes(), DomainAccelerators: packCopies(answers)}
	requests := 0.0
	for i := range answers.Accounts {
		for _, traffic := range answers.Accounts[i].traffics() {
			estimate.BusyAccelerators += traffic.RequestsPerSecond * answers.Engine.acceleratorSeconds(traffic)
			requests += traffic.RequestsPerSecond
		}
	}
	for i := range answers.Models {
		group := &answers.Models[i]
		estimate.CopyBytes += float64(len(group.Names)) * float64(group.Copies) * float64(group.copyBytes())
	}
	for _, count := range estimate.DomainAccelerators {
		estimate.MemoryAccelerators += count
	}
	estimate.LoadAccelerators = int64(min(math.Ceil(estimate.BusyAccelerators/(answers.Engine.UtilizationPercent/percent)), maxAccelerators+1))
	estimate.Accelerators = max(estimate.LoadAccelerators, estimate.MemoryAccelerators)
	if estimate.Accelerators == 0 || requests == 0 {
		return estimate
	}
	estimate.Utilization = estimate.BusyAccelerators / float64(estimate.Accelerators)
	largest := math.Ceil(float64(estimate.Accelerators) / float64(answers.Engine.FailureDomains))
	estimate.DegradedUtilization = estimate.BusyAccelerators / (float64(estimate.Accelerators) - largest)
	estimate.QueueWait = queueWait(float64(estimate.Accelerators), estimate.Utilization, estimate.BusyAccelerators/requests)
	return estimate
}

// queueWait approximates the mean queueing time at a number of servers with the
// given utilization and mean service time in seconds, by Sakasegawa's formula
// for M/M/c.
func queueWait(servers, utilization, service float64) time.Duration {
	if utilization >= 1 {
		return seconds(math.Inf(1))
	}
	return seconds(service / servers * math.Pow(utilization, math.Sqrt(2*(servers+1))-1) / (1 - utilization))
}

// firstToken returns the expected time to the first token of a request.
func (estimate *Estimate) firstToken(engine *Engine, traffic Traffic) time.Duration {
	return estimate.QueueWait + engine.promptTime(traffic)
}

// whole returns the expected time to the end of a request.
func (estimate *Estimate) whole(engine *Engine, traffic Traffic) time.Duration {
	return estimate.QueueWait + engine.wholeTime(traffic)
}

// packCopies returns how many accelerators each failure domain needs for its
// copies. It assigns copies to the domains in turn, so that those of a model are
// in different domains, and packs each domain first-fit with the largest copy
// first.
func packCopies(answers *Answers) []int64 {
	domains := make([][]int64, max(answers.Engine.FailureDomains, 1))
	next := 0
	for i := range answers.Models {
		group := &answers.Models[i]
		for range group.Names {
			for range group.Copies {
				domains[next%len(domains)] = append(domains[next%len(domains)], group.copyBytes())
				next++
			}
		}
	}
	counts := make([]int64, 0, len(domains))
	for _, copies := range domains {
		counts = append(counts, firstFit(copies, answers.Engine.usableBytes()))
	}
	return counts
}

// firstFit returns how many accelerators of a capacity the copies need if each
// copy, largest first, goes to the first accelerator with enough free memory.
func firstFit(copies []int64, capacity int64) int64 {
	slices.SortFunc(copies, func(a, b int64) int { return cmp.Compare(b, a) })
	var free []int64
	for _, size := range copies {
		index := slices.IndexFunc(free, func(available int64) bool { return available >= size })
		if index < 0 {
			free = append(free, capacity)
			index = len(free) - 1
		}
		free[index] -= size
	}
	return int64(len(free))
}

// slowestTraffic returns the traffic of the account whose requests of kind take
// longest, and reports whether any account has such requests.
func (answers *Answers) slowestTraffic(kind call.Kind) (Traffic, bool) {
	var slowest Traffic
	for i := range answers.Accounts {
		traffic := answers.Accounts[i].traffic(kind)
		if traffic.RequestsPerSecond > 0 && answers.Engine.wholeTime(traffic) > answers.Engine.wholeTime(slowest) {
			slowest = traffic
		}
	}
	return slowest, slowest.RequestsPerSecond > 0
}
