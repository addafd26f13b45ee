package ident

import (
	"fmt"
	"regexp"

	"github.com/sirupsen/logrus"
)

// redactedText replaces a secret.
const redactedText = "[redacted]"

// secretPatterns match issued secrets, and other credentials in the usual forms
// of headers and parameters.
var secretPatterns = []*regexp.Regexp{
	regexp.MustCompile(SecretPrefix + `[A-Za-z0-9_-]+`),
	regexp.MustCompile(`(?i)\b(bearer|basic)\s+[^\s"',]+`),
	regexp.MustCompile(`(?i)\b(api[-_]?key|access[-_]?token)["']?\s*[=:]\s*[^\s"',&]+`),
}

// Redact returns text with secrets replaced.
func Redact(text string) string {
	for _, pattern := range secretPatterns {
		text = pattern.ReplaceAllString(text, redactedText)
	}
	return text
}

// Redactor is a logrus hook that redacts secrets in every log line.
type Redactor struct{}

var _ logrus.Hook = Redactor{}

// Levels implements [logrus.Hook].
func (Redactor) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements [logrus.Hook].
func (Redactor) Fire(entry *logrus.Entry) error {
	entry.Message = Redact(entry.Message)
	fields := make(logrus.Fields, len(entry.Data))
	for name, value := range entry.Data {
		fields[name] = redactValue(value)
	}
	entry.Data = fields
	return nil
}

// redactValue returns numbers and booleans unchanged, and any other value as
// redacted text.
func redactValue(value any) any {
	switch value := value.(type) {
	case bool, int, int32, int64, uint32, uint64, float64:
		return value
	case string:
		return Redact(value)
	default:
		return Redact(fmt.Sprint(value))
	}
}
