package quota

// AskedSeats records which seats were asked on behalf of one request, and how
// many of those exchanges were answered.
type AskedSeats struct {
	whole    [Seats]bool
	part     [Seats]bool
	finished int
	answered int
}

// Add records that seat is being asked, for a part of the need if partial is set.
func (askedSeats *AskedSeats) Add(seat int, partial bool) {
	askedSeats.whole[seat] = true
	if partial {
		askedSeats.part[seat] = true
	}
}

// Finish records the end of an exchange; ok reports whether it was answered.
func (askedSeats *AskedSeats) Finish(ok bool) {
	askedSeats.finished++
	if ok {
		askedSeats.answered++
	}
}

// allFailed reports whether exchanges were attempted and none was answered.
func (askedSeats *AskedSeats) allFailed() bool {
	return askedSeats.finished > 0 && askedSeats.answered == 0
}
