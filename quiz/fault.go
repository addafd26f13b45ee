package quiz

// Fault describes an answer that is not acceptable.
type Fault struct {
	// Question is the path of the question, such as accounts/0/weight.
	Question string
	// Problem states what is wrong and what is expected.
	Problem string
}
