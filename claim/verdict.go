package claim

import "github.com/basilkeel/basilkeel/call"

// Verdict is the decision on a call that may not be repeated. It is sealed:
// [Proceed], [Replay] and [Refused] implement it.
type Verdict interface{ verdict() }

// Proceed means to send the call, once, and then to call [Client.Finish] or
// [Client.Release] with the claim.
type Proceed struct{ Claim Claim }

// Replay means to send nothing and to return the answer of the first call.
type Replay struct{ Answer Answer }

// Refused means to send nothing and to return the refusal.
type Refused struct{ Refusal *call.Refusal }

func (Proceed) verdict() {}
func (Replay) verdict()  {}
func (Refused) verdict() {}
