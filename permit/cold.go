package permit

import "time"

const (
	// ColdLifetime is how long a permit for a cold server can be used, from when it was
	// asked for. It is shorter than [Lifetime], as permits that are used late arrive
	// together with later ones.
	ColdLifetime = 150 * time.Millisecond
	// coldMargin is the difference in delay that the network may add between two
	// requests: links between zones take up to 5.4 ms, and a retransmission 200 ms less
	// what the permit's lifetime leaves.
	coldMargin = 100 * time.Millisecond
	// coldWindow is the time in which a cold server's rate may not be exceeded by the
	// permits, so that no second has more requests than the rate.
	coldWindow = time.Second + ColdLifetime + coldMargin
	// coldPart is the part of the coordinator's permits that it issues while some entries
	// may use standalone shares, and coldStandalone the part of the rate of all these
	// shares together. With the first requests of these shares, both stay within the rate.
	coldPart       = 0.6
	coldStandalone = 0.2
)

// Cold states that a server accepts only PerSecond requests in any second until it is
// warm.
type Cold struct {
	PerSecond float64
	Until     time.Time
}

// active reports whether the server is cold.
func (cold Cold) active(now time.Time) bool { return cold.PerSecond > 0 && now.Before(cold.Until) }

// issueRate returns the rate at which a coordinator that may issue a part of the permits
// issues them, and the largest number of them in any coldWindow.
func (cold Cold) issueRate(part float64) (rate float64, most int) {
	perSecond := cold.PerSecond
	if part < 1 {
		perSecond *= coldPart
	}
	return perSecond * part / coldWindow.Seconds(), max(int(perSecond), 1)
}

// standalone returns the number of entries that have a standalone share, and the rate of
// each.
func (cold Cold) standalone(entries int) (sharers int, perSecond float64) {
	sharers = min(entries, max(int(coldStandalone*cold.PerSecond), 1))
	return sharers, coldStandalone * cold.PerSecond / float64(sharers)
}

// coldState is what a gate knows of a server that is or was cold.
type coldState struct {
	Cold
	// closedUntil is until when the server gets no request, as entries may have sent some
	// without a permit before they knew.
	closedUntil time.Time
}

// SetCold records until when a server is cold; it ends an earlier cold time if that is
// past. Used reports whether entries may have sent it requests without permits until now.
func (gate *Gate) SetCold(server Server, cold Cold, used bool, now time.Time) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	known, found := gate.cold[server]
	if !cold.active(now) {
		delete(gate.cold, server)
		gate.drop(server, now)
		return
	}
	if !found || !known.active(now) {
		known = &coldState{}
		gate.cold[server] = known
		if used {
			known.closedUntil = now.Add(coldWindow)
		}
		// The share begins empty: a coordinator may have issued permits until now.
		gate.servers[server] = &serverState{share: bucket{refilledAt: now}}
	}
	known.Cold = cold
}

// Cold returns the rate of a server that is cold, or false.
func (gate *Gate) Cold(server Server, now time.Time) (float64, bool) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	cold := gate.activeCold(server, now)
	return cold.PerSecond, cold.active(now)
}

// Limited reports whether requests to a server need permits, as it declares a rate or is
// cold.
func (gate *Gate) Limited(server Server, now time.Time) bool {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return gate.limited(server, now)
}

// limited is Limited with the mutex held.
func (gate *Gate) limited(server Server, now time.Time) bool {
	_, declared := gate.register.Rate(server)
	return declared || gate.activeCold(server, now).active(now)
}

// activeCold returns what is known of a server that is cold, or the zero value. It is
// called with the mutex held.
func (gate *Gate) activeCold(server Server, now time.Time) coldState {
	if known, found := gate.cold[server]; found && known.active(now) {
		return *known
	}
	return coldState{}
}

// drop drops the state of a server that is not limited. It is called with the mutex held.
func (gate *Gate) drop(server Server, now time.Time) {
	if !gate.limited(server, now) {
		delete(gate.servers, server)
	}
}
