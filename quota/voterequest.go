package quota

// VoteRequest is a [Vote] with the holder to ask.
type VoteRequest struct {
	Voter Record
	Vote  Vote
}
