package relay

// Reason tells why a request was refused or failed; it labels logs and counters.
type Reason string

// Reasons of refusals; the request has not run.
const (
	ReasonNotReady         Reason = "notReady"
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
	ReasonRefusedByServer  Reason = "refusedByServer"
	ReasonTimeUp           Reason = "timeUp"
)

// Reasons of failures; the request may have run.
const (
	ReasonAnswerBroken Reason = "answerBroken"
	ReasonTimeout      Reason = "timeout"
)

// Reasons why an answer counts as late: its first event, a pause between events,
// or the whole answer took longer than the route's objective.
const (
	ReasonFirstEvent Reason = "firstEvent"
	ReasonPause      Reason = "pause"
	ReasonAnswer     Reason = "answer"
)
