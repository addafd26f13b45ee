package quiz

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// object holds the undecoded members of a JSON object.
type object map[string]json.RawMessage

// Decode parses and checks answers in JSON. If they are not acceptable, the error
// is a *[FaultsError] with all faults.
func Decode(encoded []byte) (Answers, error) {
	var answers Answers
	var sections object
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	err := decoder.Decode(&sections)
	if err == nil {
		if _, trailing := decoder.Token(); !errors.Is(trailing, io.EOF) {
			err = errors.New("text follows the answers")
		}
	}
	if err != nil {
		return Answers{}, &FaultsError{Faults: []Fault{{Question: "file", Problem: err.Error()}}}
	}
	reader := &fileReader{}
	reader.rejectUnknown("", sections, []string{sectionEngine, sectionModels, sectionDelays, sectionCalls, sectionAccounts})
	readRecord(reader, sectionEngine, sections[sectionEngine], engineQuestions(), &answers.Engine)
	readList(reader, sectionModels, sections[sectionModels], modelQuestions(), &answers.Models)
	readRecord(reader, sectionDelays, sections[sectionDelays], delayQuestions(), &answers.Delays)
	readList(reader, sectionCalls, sections[sectionCalls], callQuestions(), &answers.Calls)
	readList(reader, sectionAccounts, sections[sectionAccounts], accountQuestions(), &answers.Accounts)
	if len(reader.faults) == 0 {
		reader.faults = Check(answers)
	}
	if len(reader.faults) > 0 {
		return Answers{}, &FaultsError{Faults: reader.faults}
	}
	return answers, nil
}

// fileReader collects the faults of a file.
type fileReader struct {
	faults []Fault
}

func (reader *fileReader) addFault(path, problem string) {
	reader.faults = append(reader.faults, Fault{Question: path, Problem: problem})
}

func (reader *fileReader) rejectUnknown(prefix string, given object, known []string) {
	for _, name := range slices.Sorted(maps.Keys(given)) {
		if !slices.Contains(known, name) {
			reader.addFault(prefix+name, "is none of the questions")
		}
	}
}

func readList[T any](reader *fileReader, path string, raw json.RawMessage, questions []question[T], records *[]T) {
	if raw == nil {
		return
	}
	var list []json.RawMessage
	if json.Unmarshal(raw, &list) != nil {
		reader.addFault(path, "is not a list")
		return
	}
	if len(list) > maxRecords {
		reader.addFault(path, fmt.Sprintf("has more than %d entries", maxRecords))
		return
	}
	for i, element := range list {
		var record T
		readRecord(reader, fmt.Sprintf("%s/%d", path, i), element, questions, &record)
		*records = append(*records, record)
	}
}

func readRecord[T any](reader *fileReader, path string, raw json.RawMessage, questions []question[T], record *T) {
	given := object{}
	if raw != nil && json.Unmarshal(raw, &given) != nil {
		reader.addFault(path, "is not an object")
		return
	}
	known := make([]string, 0, len(questions))
	for i := range questions {
		question := &questions[i]
		known = append(known, question.name)
		value, ok := given[question.name]
		if !ok && question.applies != nil && !question.applies(record) {
			continue
		}
		text, problem := valueText(value)
		if problem == "" {
			problem = question.store(record, text)
		}
		if problem != "" {
			reader.addFault(path+"/"+question.name, problem)
		}
	}
	reader.rejectUnknown(path+"/", given, known)
}

// valueText returns a JSON value as a user would type it in a session.
func valueText(raw json.RawMessage) (text, problem string) {
	if raw == nil {
		return "", ""
	}
	var list []string
	if json.Unmarshal(raw, &list) == nil {
		return strings.Join(list, ","), ""
	}
	if json.Unmarshal(raw, &text) == nil {
		return strings.TrimSpace(text), ""
	}
	if raw[0] == '{' || raw[0] == '[' {
		return "", "is neither a text, a number, yes or no, nor a list of texts"
	}
	return string(raw), ""
}
