package relay

// Reason is why a request was refused or failed, or why a response was late. It labels
// logs and counters.
type Reason string

// Reasons for refusing a request, which has not run.
const (
	ReasonNotReady Reason = "notReady"
	// ReasonStopping is also a reason for failing a request.
	ReasonStopping         Reason = "stopping"
	ReasonNoRoute          Reason = "noRoute"
	ReasonUnknownKey       Reason = "unknownKey"
	ReasonBadRequest       Reason = "badRequest"
	ReasonBodyTooLarge     Reason = "bodyTooLarge"
	ReasonBodyNotRead      Reason = "bodyNotRead"
	ReasonQuarantined      Reason = "quarantined"
	ReasonOverLimit        Reason = "overLimit"
	ReasonNoServer         Reason = "noServer"
	ReasonModelNotLoaded   Reason = "modelNotLoaded"
	ReasonAdapterNotLoaded Reason = "adapterNotLoaded"
	ReasonServersFull      Reason = "serversFull"
	ReasonRateLimited      Reason = "rateLimited"
	ReasonRefusedByServer  Reason = "refusedByServer"
	ReasonTimeUp           Reason = "timeUp"
	// ReasonMemory means that the process holds as much for callers and servers as its memory
	// allows.
	ReasonMemory Reason = "memory"
	// ReasonNoHome means that no region is left to the request, or none that exists.
	ReasonNoHome Reason = "noHome"
)

// Reasons for failing a request, which may have run.
const (
	ReasonAnswerBroken Reason = "answerBroken"
	ReasonTimeout      Reason = "timeout"
	// ReasonInternal means that handling the request failed because of a fault in the program.
	ReasonInternal Reason = "internal"
)

// Reasons for counting a response as late: its first event, the pause between two events
// or the whole response took longer than the route's objective.
const (
	ReasonFirstEvent Reason = "firstEvent"
	ReasonPause      Reason = "pause"
	ReasonAnswer     Reason = "answer"
)
