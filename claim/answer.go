package claim

// answerOverheadBytes is the size counted for an answer in addition to its
// content type and body.
const answerOverheadBytes = 16

// Answer is the part of a call's answer that is stored, to be returned to
// repeats of the call.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// bytes returns the size that counts towards [ClientConfig.MaxAnswerBytes].
func (answer Answer) bytes() int {
	return answerOverheadBytes + len(answer.ContentType) + len(answer.Body)
}
