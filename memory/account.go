package memory

import (
	"slices"
	"time"
)

// Account is what one request holds of a budget. Its fields are guarded by the mutex of the
// budget.
type Account struct {
	budget   *Budget
	held     [purposeCount]int64
	promised int64
	// progressAt is when the promise was given or last used.
	progressAt time.Time
	// lapsed reports whether a promise has lapsed. Further bytes are then promised piece by
	// piece.
	lapsed bool
}

// NewAccount returns an account that holds nothing. It must be closed.
func (budget *Budget) NewAccount() *Account { return &Account{budget: budget} }

// TryHold holds bytes if the budget allows it. It never waits.
func (account *Account) TryHold(purpose Purpose, bytes int64) bool {
	budget := account.budget
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if !budget.fits(bytes, false) {
		return false
	}
	account.add(purpose, bytes)
	return true
}

// TryHoldConnection holds what an accepted connection takes, if the budget allows it and leaves
// spare bytes to other connections.
func (account *Account) TryHoldConnection(bytes, spare int64) bool {
	budget := account.budget
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if !budget.fitsConnections(bytes, budget.connectionRoom()-spare) {
		return false
	}
	account.add(Connection, bytes)
	return true
}

// TryHoldHead sets what the head of the account's request takes, if the budget allows it. Large
// heads leave a part of the room to small ones.
func (account *Account) TryHoldHead(bytes int64) bool {
	budget := account.budget
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	more := bytes - account.held[Head]
	room := budget.connectionRoom()
	if bytes > SmallHeadBytes {
		room -= int64(spareHeadRatio * float64(room))
	}
	if more > 0 && !budget.fitsConnections(more, room) {
		return false
	}
	account.add(Head, more)
	return true
}

// Hold holds bytes in any case, also beyond the limit. It is for what a request in progress
// can't do without.
func (account *Account) Hold(purpose Purpose, bytes int64) {
	account.budget.mutex.Lock()
	defer account.budget.mutex.Unlock()
	account.add(purpose, bytes)
}

// HoldBody holds the next piece of the body, of which rest bytes may follow with that piece.
// It returns nil if the piece may be read, a *[Wait] after which to call it again, or an
// *[ExhaustedError].
func (account *Account) HoldBody(piece, rest int64, now time.Time) (*Wait, error) {
	budget := account.budget
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.limit > 0 && account.promised < piece {
		if wait, err := account.promiseBody(piece, rest, now); wait != nil || err != nil {
			return wait, err
		}
	}
	if used := min(account.promised, piece); used > 0 {
		account.promised -= used
		budget.promised -= used
		account.progressAt = now
		if account.promised == 0 {
			account.endPromise()
		}
	}
	account.add(Body, piece)
	return nil, nil
}

// promiseBody promises bytes for the body, or returns why there is no promise now. It is
// called with the mutex held.
func (account *Account) promiseBody(piece, rest int64, now time.Time) (*Wait, error) {
	budget := account.budget
	whole := account.held[Body] + max(piece, rest)
	large := whole > SmallBytes
	need := piece
	if large && !account.lapsed {
		need = max(piece, min(rest, budget.maxPromise()))
	}
	need -= account.promised
	if large && whole > budget.limit-int64(spareRatio*float64(budget.limit)) {
		return nil, &ExhaustedError{Bytes: need}
	}
	if account.tryPromise(need, piece, large, now) {
		return nil, nil
	}
	budget.expirePromises(now)
	budget.serveWaits(now)
	switch {
	case account.tryPromise(need, piece, large, now):
		return nil, nil
	case budget.waiting+need > max(int64(maxWaitingRatio*float64(budget.limit)), need):
		return nil, &ExhaustedError{Bytes: need}
	}
	wait := &Wait{account: account, bytes: need, large: large, granted: make(chan struct{})}
	index := len(budget.waits)
	if account.held[Body] > 0 {
		// A body that has begun to arrive goes before those that hold nothing.
		if first := slices.IndexFunc(budget.waits, func(other *Wait) bool { return other.account.held[Body] == 0 }); first >= 0 {
			index = first
		}
	}
	budget.waits = slices.Insert(budget.waits, index, wait)
	budget.waiting += need
	return wait, nil
}

// tryPromise reports whether bytes may be held now, and promises those beyond the next piece.
// It is called with the mutex held.
func (account *Account) tryPromise(need, piece int64, large bool, now time.Time) bool {
	if account.mustQueue(large) || !account.budget.fits(need, large) {
		return false
	}
	if account.promised+need > piece {
		account.addPromise(need, now)
	}
	return true
}

// mustQueue reports whether others of the same size wait already, before a body that has not
// begun. It is called with the mutex held.
func (account *Account) mustQueue(large bool) bool {
	return account.held[Body] == 0 && slices.ContainsFunc(account.budget.waits, func(wait *Wait) bool { return wait.large == large })
}

// addPromise is called with the mutex held.
func (account *Account) addPromise(bytes int64, now time.Time) {
	budget := account.budget
	if account.promised == 0 && bytes > 0 {
		budget.promises = append(budget.promises, account)
	}
	account.promised += bytes
	budget.promised += bytes
	account.progressAt = now
}

// add is called with the mutex held.
func (account *Account) add(purpose Purpose, bytes int64) {
	account.held[purpose] += bytes
	account.budget.held[purpose] += bytes
	if purpose.ofConnections() {
		account.budget.connections += bytes
	} else {
		account.budget.total += bytes
	}
}

// EndBody gives back what is promised beyond the body's end.
func (account *Account) EndBody(now time.Time) {
	account.budget.mutex.Lock()
	defer account.budget.mutex.Unlock()
	account.endPromise()
	account.budget.serveWaits(now)
}

// endPromise is called with the mutex held.
func (account *Account) endPromise() {
	budget := account.budget
	budget.promised -= account.promised
	account.promised = 0
	if index := slices.Index(budget.promises, account); index >= 0 {
		budget.promises = slices.Delete(budget.promises, index, index+1)
	}
}

// Release gives back bytes that are held for a purpose.
func (account *Account) Release(purpose Purpose, bytes int64, now time.Time) {
	account.budget.mutex.Lock()
	defer account.budget.mutex.Unlock()
	account.add(purpose, -min(bytes, account.held[purpose]))
	account.budget.serveWaits(now)
}

// ReleaseAll gives back all bytes that are held for a purpose.
func (account *Account) ReleaseAll(purpose Purpose, now time.Time) {
	account.budget.mutex.Lock()
	defer account.budget.mutex.Unlock()
	account.add(purpose, -account.held[purpose])
	account.budget.serveWaits(now)
}

// Close gives back everything.
func (account *Account) Close(now time.Time) {
	account.budget.mutex.Lock()
	defer account.budget.mutex.Unlock()
	account.endPromise()
	for _, purpose := range Purposes() {
		account.add(purpose, -account.held[purpose])
	}
	account.budget.serveWaits(now)
}
