package quiz

// prompt is a question that has no acceptable answer yet.
type prompt struct {
	path     string
	ask      string
	help     string
	fallback string
	required bool
	// problem states what is wrong with the answer that was given.
	problem string
}
