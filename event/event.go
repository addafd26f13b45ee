package event

import (
	"fmt"
	"sort"

	"github.com/sirupsen/logrus"
)

// Number identifies an event in logs. The number of a removed event is never
// reused.
type Number int

// Event is a kind of log line, with a fixed number, level and name.
type Event struct {
	number Number
	level  logrus.Level
	name   string
	text   string
}

// registry maps numbers to events. It needs no lock: it is written only during
// the initialization of package variables, which runs in one goroutine.
var registry = map[Number]Event{}

// define registers and returns an event. It panics if the number is already in
// use, so that any test that links the package fails.
func define(number Number, level logrus.Level, name, text string) Event {
	if other, taken := registry[number]; taken {
		panic(fmt.Sprintf("event %d is both %s and %s", number, other.name, name))
	}
	event := Event{number: number, level: level, name: name, text: text}
	registry[number] = event
	return event
}

// Number returns the number that identifies the event.
func (event Event) Number() Number { return event.number }

// Level returns the severity that the event is logged with.
func (event Event) Level() logrus.Level { return event.level }

// Name returns the event's short name in camel case.
func (event Event) Name() string { return event.name }

// Text returns a description for operators: what happened and what to do about
// it.
func (event Event) Text() string { return event.text }

// Log writes the event to logger with the given fields.
func (event Event) Log(logger logrus.FieldLogger, fields logrus.Fields) {
	entry := logger.WithFields(fields).WithField("event", int(event.number))
	entry.Log(event.level, event.name)
}

// All returns all events, sorted by number.
func All() []Event {
	events := make([]Event, 0, len(registry))
	for _, event := range registry {
		events = append(events, event)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].number < events[j].number })
	return events
}
