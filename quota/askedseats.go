package quota

// AskedSeats notes which seats one request has asked already.
type AskedSeats struct {
	whole    [Seats]bool
	part     [Seats]bool
	finished     int
	answered int
}

// Add notes that seat was asked.
func (askedSeats *AskedSeats) Add(seat int, partial bool) {
	askedSeats.whole[seat] = true
	if partial {
		askedSeats.part[seat] = true
	}
}

// Finish notes the end of an exchange, and whether a home answered it.
func (askedSeats *AskedSeats) Finish(ok bool) {
	askedSeats.finished++
	if ok {
		askedSeats.answered++
	}
}

// allFailed tells that homes were asked and none answered.
func (askedSeats *AskedSeats) allFailed() bool { return askedSeats.finished > 0 && askedSeats.answered == 0 }
