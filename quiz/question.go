package quiz

// question asks for one field of a record of type T.
type question[T any] struct {
	name string
	ask  string
	help string
	// fallback is the answer where none is given; required questions have none.
	fallback string
	required bool
	// applies tells whether the record needs the question; nil means always.
	applies func(record *T) bool
	// read stores text in the record and returns what is wrong with it.
	read func(record *T, text string) string
}

// prompt returns what a caller of [walk] needs to put the question.
func (question *question[T]) prompt(path string) prompt {
	return prompt{path: path, ask: question.ask, help: question.help, fallback: question.fallback, required: question.required}
}
