package quiz

// Answers holds a team's answers to all questions.
type Answers struct {
	Engine   Engine
	Models   []ModelGroup
	Delays   Delays
	Calls    []ServiceCall
	Accounts []Account
}
