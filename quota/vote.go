package quota

import "github.com/basilkeel/basilkeel/store"

// Vote asks the holder of one seat to confirm the record of another seat, or to
// promise never to confirm it.
type Vote struct {
	Shard int
	// Voter and VoterEpoch identify the seat whose holder votes.
	Voter      int
	VoterEpoch int64
	// Seat and Revision identify the record that the vote is about.
	Seat     int
	Revision store.Revision
	// Against asks for the promise never to confirm Revision or an older one;
	// without it the vote confirms Revision.
	Against bool
}
