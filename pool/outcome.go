package pool

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// StartRequest counts a request that is about to be sent to a server, and the tokens
// of its prompt.
func (pool *Pool) StartRequest(id names.BackendServer, tokens int64, now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if member, found := pool.members[id]; found {
		if member.ownRequests == 0 {
			member.lastActiveAt = now
		}
		member.ownRequests++
		pool.ownRequests++
		member.unreadTokens += tokens
	}
}

// FinishPrompt records that a server has read a prompt, or no longer will.
func (pool *Pool) FinishPrompt(id names.BackendServer, tokens int64) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if member, found := pool.members[id]; found {
		member.unreadTokens = max(member.unreadTokens-tokens, 0)
	}
}

// RecordBytes records that bytes of a response arrived from a server, for a request
// that was sent at a given time.
func (pool *Pool) RecordBytes(id names.BackendServer, sent, now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	member, found := pool.members[id]
	if !found {
		return
	}
	member.lastActiveAt, member.lastBytesAt = now, now
	if sent.After(member.lastAnsweredSentAt) {
		member.lastAnsweredSentAt = sent
	}
}

// EndRequest stops counting a request that has ended.
func (pool *Pool) EndRequest(id names.BackendServer) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if member, found := pool.members[id]; found && member.ownRequests > 0 {
		member.ownRequests--
		pool.ownRequests--
	}
}

// RecordResponse records that a server responded, and whether with a server error. It
// ends the server's ejection, if any, and reports whether the server had been ejected.
func (pool *Pool) RecordResponse(id names.BackendServer, failed bool) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	member, found := pool.members[id]
	if !found {
		return false
	}
	value := 0.0
	if failed {
		value = 1
	}
	member.errorRate += errorWeight * (value - member.errorRate)
	wasEjected := member.ejections > 0
	member.failures, member.ejections = 0, 0
	member.ejectedUntil = time.Time{}
	return wasEjected
}

// RecordFailure records that a request got no complete response from a server. A
// severe failure ejects the server at once, others after [ejectAfterFailures] in a
// row. RecordFailure returns the end of an ejection that it begins, or the zero time.
func (pool *Pool) RecordFailure(id names.BackendServer, severe bool, now time.Time) time.Time {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	member, found := pool.members[id]
	if !found {
		return time.Time{}
	}
	member.failures++
	member.errorRate += errorWeight * (1 - member.errorRate)
	if member.ejected(now) || (!severe && member.failures < ejectAfterFailures) {
		return time.Time{}
	}
	duration := min(minEjection<<min(member.ejections, 3), maxEjection)
	member.ejections++
	member.ejectedUntil = now.Add(duration)
	pool.assumeColdAfterFailure(member, now)
	return member.ejectedUntil
}

// AddSlow adds delta to the number of a server's requests whose first byte is overdue.
func (pool *Pool) AddSlow(id names.BackendServer, delta int) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if member, found := pool.members[id]; found {
		member.slowRequests = max(member.slowRequests+delta, 0)
	}
}

// RecordMissingModel records that a server refused a request because it does not hold
// the model.
func (pool *Pool) RecordMissingModel(id names.BackendServer, model names.Model, now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if member, found := pool.members[id]; found {
		member.missingModels[model] = now.Add(missingModelLifetime)
	}
}

// OwnRequests returns how many requests this instance has in flight at each server.
func (pool *Pool) OwnRequests() map[names.BackendServer]int {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	requests := map[names.BackendServer]int{}
	for id, member := range pool.members {
		if member.ownRequests > 0 {
			requests[id] = member.ownRequests
		}
	}
	return requests
}
