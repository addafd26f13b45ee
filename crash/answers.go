package crash

import "time"

// maxAnswers bounds the parts in each half of [answers].
const maxAnswers = 2048

// answers stores when prompts with a part were last answered, for the parts that were
// answered most recently. It is not safe for concurrent use.
type answers struct {
	// recent holds the latest answers. Once it is full, it replaces former.
	recent, former map[Fingerprint]time.Time
}

func newAnswers() answers { return answers{recent: map[Fingerprint]time.Time{}} }

func (answers *answers) record(part Fingerprint, at time.Time) {
	if !at.After(answers.last(part)) {
		return
	}
	if _, found := answers.recent[part]; !found && len(answers.recent) >= maxAnswers {
		answers.recent, answers.former = make(map[Fingerprint]time.Time, maxAnswers), answers.recent
	}
	answers.recent[part] = at
}

// last returns when a prompt with the part was last answered, or zero if that is not known.
func (answers *answers) last(part Fingerprint) time.Time {
	if at, found := answers.recent[part]; found {
		return at
	}
	return answers.former[part]
}
