package pool

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
)

// StartRequest counts a request that is about to be sent to a server, with the tokens
// of its prompt.
func (pool *Pool) StartRequest(id names.BackendServer, tokens int64, now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if member, found := pool.members[id]; found {
		if member.own == 0 {
			member.heardAt = now
		}
		member.own++
		member.unread += tokens
	}
}

// FinishPrompt tells that a server has read a prompt, or no longer will.
func (pool *Pool) FinishPrompt(id names.BackendServer, tokens int64) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if member, found := pool.members[id]; found {
		member.unread = max(member.unread-tokens, 0)
	}
}

// RecordBytes tells that bytes of an answer came from a server, and when the request was
// sent.
func (pool *Pool) RecordBytes(id names.BackendServer, sent, now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	member, found := pool.members[id]
	if !found {
		return
	}
	member.heardAt, member.answeredAt = now, now
	if sent.After(member.lastAnswered) {
		member.lastAnswered = sent
	}
}

// EndRequest counts a request that is no longer at a server.
func (pool *Pool) EndRequest(id names.BackendServer) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if member, found := pool.members[id]; found && member.own > 0 {
		member.own--
	}
}

// RecordResponse tells that a server answered, and whether with an error of its own.
// It returns true where the server had been ejected.
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
	member.errors += errorWeight * (value - member.errors)
	returned := member.ejections > 0
	member.failures, member.ejections = 0, 0
	member.ejectedUntil = time.Time{}
	return returned
}

// RecordFailure tells that a server gave no whole answer. A severe failure ejects at
// once. It returns until when the server is ejected, or the zero time.
func (pool *Pool) RecordFailure(id names.BackendServer, severe bool, now time.Time) time.Time {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	member, found := pool.members[id]
	if !found {
		return time.Time{}
	}
	member.failures++
	member.errors += errorWeight * (1 - member.errors)
	if member.ejected(now) || (!severe && member.failures < ejectFailures) {
		return time.Time{}
	}
	wait := min(firstEjection<<min(member.ejections, 3), lastEjection)
	member.ejections++
	member.ejectedUntil = now.Add(wait)
	return member.ejectedUntil
}

// AddSlow counts a request that has waited too long for its first byte, or no
// longer waits where delta is negative.
func (pool *Pool) AddSlow(id names.BackendServer, delta int) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if member, found := pool.members[id]; found {
		member.slow = max(member.slow+delta, 0)
	}
}

// RecordMissingModel tells that a server refused a request for a model that it lacks.
func (pool *Pool) RecordMissingModel(id names.BackendServer, model names.Model, now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if member, found := pool.members[id]; found {
		member.absent[model] = now.Add(absentFor)
	}
}

// OwnRequests returns how many requests of this instance each server has.
func (pool *Pool) OwnRequests() map[names.BackendServer]int {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	own := map[names.BackendServer]int{}
	for id, member := range pool.members {
		if member.own > 0 {
			own[id] = member.own
		}
	}
	return own
}
