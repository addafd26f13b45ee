package quota

import "github.com/basilkeel/basilkeel/names"

// Exchange is a message with the asks of one borrower to the holder of a seat.
type Exchange struct {
	Borrower names.Instance
	Shard    int
	Seat     int
	Asks     []Ask
}
