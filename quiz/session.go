package quiz

import (
	"fmt"
	"strings"
)

// Lines that are commands and not answers.
const (
	commandHelp = "?"
	commandBack = "back"
)

// Session asks the questions interactively, line by line. It is not safe for
// concurrent use.
type Session struct {
	given map[string]string
	// answered lists the paths of the given answers, in the order of entry.
	answered []string
	next     *prompt
	answers  Answers
	faults   []Fault
}

// NewSession returns a session at the first question.
func NewSession() *Session {
	session := &Session{given: map[string]string{}}
	session.advance()
	return session
}

// Done reports whether all questions have acceptable answers.
func (session *Session) Done() bool { return session.next == nil && len(session.faults) == 0 }

// Answers returns the answers. They are complete when the session is done.
func (session *Session) Answers() Answers { return session.answers }

// Prompt returns the text to show before the next line is read.
func (session *Session) Prompt() string {
	if session.next == nil {
		return "question to answer again: "
	}
	if session.next.fallback == "" {
		return fmt.Sprintf("%s\n%s: ", session.next.ask, session.next.path)
	}
	return fmt.Sprintf("%s\n%s [%s]: ", session.next.ask, session.next.path, session.next.fallback)
}

// Enter handles an input line, an answer or a command, and returns the text to
// show in reply.
func (session *Session) Enter(line string) string {
	text := strings.TrimSpace(line)
	switch {
	case text == commandBack:
		return session.back()
	case session.next == nil:
		return session.discard(text)
	case text == commandHelp:
		return session.next.help + "\n"
	}
	path := session.next.path
	session.given[path] = text
	session.advance()
	if session.next != nil && session.next.path == path {
		problem := session.next.problem
		delete(session.given, path)
		session.advance()
		return "! " + problem + "\n"
	}
	session.answered = append(session.answered, path)
	return session.formatFaults()
}

// advance finds the next question. If there is none, it checks the answers as a
// whole.
func (session *Session) advance() {
	session.faults = nil
	session.answers, session.next = walk(func(path string) (string, bool) {
		text, ok := session.given[path]
		return text, ok
	})
	if session.next == nil {
		session.faults = Check(session.answers)
	}
}

// back discards the latest answer.
func (session *Session) back() string {
	if len(session.answered) == 0 {
		return "! this is the first question\n"
	}
	last := len(session.answered) - 1
	delete(session.given, session.answered[last])
	session.answered = session.answered[:last]
	session.advance()
	return ""
}

// discard discards the answer to the question at path, which is then asked again.
func (session *Session) discard(path string) string {
	if _, ok := session.given[path]; !ok {
		return fmt.Sprintf("! %q is none of the questions; name one as above, or back\n", path)
	}
	delete(session.given, path)
	kept := session.answered[:0]
	for _, each := range session.answered {
		if each != path {
			kept = append(kept, each)
		}
	}
	session.answered = kept
	session.advance()
	return ""
}

// formatFaults returns the faults of the answers as a whole, or "" if there are
// none.
func (session *Session) formatFaults() string {
	if len(session.faults) == 0 {
		return ""
	}
	return "These answers do not fit together:\n" + (&FaultsError{Faults: session.faults}).Error() + "\n"
}
