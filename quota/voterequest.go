package quota

// VoteRequest is a [Vote] and the record of the holder to send it to.
type VoteRequest struct {
	Voter Record
	Vote  Vote
}
