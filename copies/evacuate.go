package copies

// evacuated reports whether nothing may be sent to an engine, as its failure domain is
// evacuated. It locks the tracker's mutex.
func (dispatcher *Dispatcher) evacuated(tracker *Tracker) bool {
	if dispatcher.config.Evacuated == nil {
		return false
	}
	tracker.mutex.Lock()
	domain := tracker.server.Domain
	tracker.mutex.Unlock()
	return dispatcher.config.Evacuated(domain)
}
