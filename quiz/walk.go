package quiz

import "fmt"

const (
	// maxRecords bounds the records of one section.
	maxRecords = 500
	// moreQuestion names the question whether there is a further record.
	moreQuestion = "more"
)

// lookup returns the answer to the question at a path, if there is one.
type lookup func(path string) (string, bool)

// walk reads the answers in the order of the questions. It stops at the first
// answer that is missing or wrong, and returns the prompt for it.
func walk(answer lookup) (Answers, *prompt) {
	var answers Answers
	if next := walkRecord(answer, sectionEngine, engineQuestions(), &answers.Engine); next != nil {
		return answers, next
	}
	next := walkList(answer, sectionModels, "model", modelQuestions(), &answers.Models)
	if next != nil {
		return answers, next
	}
	if next := walkRecord(answer, sectionDelays, delayQuestions(), &answers.Delays); next != nil {
		return answers, next
	}
	if next := walkList(answer, sectionCalls, "call of a plain service", callQuestions(), &answers.Calls); next != nil {
		return answers, next
	}
	next = walkList(answer, sectionAccounts, "client account", accountQuestions(), &answers.Accounts)
	return answers, next
}

func walkRecord[T any](answer lookup, path string, questions []question[T], record *T) *prompt {
	for i := range questions {
		question := &questions[i]
		if question.applies != nil && !question.applies(record) {
			continue
		}
		next := question.prompt(path + "/" + question.name)
		text, ok := answer(next.path)
		if !ok {
			return &next
		}
		if next.problem = question.store(record, text); next.problem != "" {
			return &next
		}
	}
	return nil
}

// store stores an answer, or the fallback if the answer is empty. It returns what
// is wrong with the answer, or "".
func (question *question[T]) store(record *T, text string) string {
	if text == "" {
		if question.required {
			return "needs an answer"
		}
		text = question.fallback
	}
	return question.read(record, text)
}

// walkList reads records until the answer to moreQuestion is no.
func walkList[T any](answer lookup, path, title string, questions []question[T], records *[]T) *prompt {
	for i := range maxRecords {
		recordPath := fmt.Sprintf("%s/%d", path, i)
		more, next := walkMore(answer, recordPath, title, i)
		if next != nil || !more {
			return next
		}
		var record T
		if next := walkRecord(answer, recordPath, questions, &record); next != nil {
			return next
		}
		*records = append(*records, record)
	}
	return nil
}

// walkMore reads the answer to the question whether there is a further record.
func walkMore(answer lookup, path, title string, index int) (bool, *prompt) {
	next := prompt{path: path + "/" + moreQuestion, ask: "Is there a " + title + " to describe?", fallback: "yes", help: "Yes asks for it; no goes on with the next part."}
	if index > 0 {
		next.ask, next.fallback = "Is there a further "+title+"?", "no"
	}
	text, ok := answer(next.path)
	if !ok {
		return false, &next
	}
	if text == "" {
		text = next.fallback
	}
	var more bool
	next.problem = readBool(func(more *bool) *bool { return more })(&more, text)
	if next.problem != "" {
		return false, &next
	}
	return more, nil
}
