package quiz

// question asks for one field of a record of type T.
type question[T any] struct {
	name string
	ask  string
	help string
	// fallback is the default answer. Required questions have none.
	fallback string
	required bool
	// applies reports whether the question applies to the record. Nil means that
	// it always does.
	applies func(record *T) bool
	// read parses text and stores its value in the record. It returns what is
	// wrong with the text, or "" if it is acceptable.
	read func(record *T, text string) string
}

// prompt returns the question as a prompt for the answer at path.
func (question *question[T]) prompt(path string) prompt {
	return prompt{path: path, ask: question.ask, help: question.help, fallback: question.fallback, required: question.required}
}
