package quota

// AskedSeats notes which seats one request has asked already.
type AskedSeats struct {
	whole    [Seats]bool
	part     [Seats]bool
	sent     int
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
	askedSeats.sent++
	if ok {
		askedSeats.answered++
	}
}

// unanswered tells that homes were asked and none answered.
func (askedSeats *AskedSeats) unanswered() bool { return askedSeats.sent > 0 && askedSeats.answered == 0 }
