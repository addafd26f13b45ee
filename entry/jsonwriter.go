package entry

import (
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/wire"
)

// jsonWriter writes a completion as one JSON value once it is complete.
type jsonWriter struct {
	writer     http.ResponseWriter
	format     format
	completion *completion
	stopwatch  *stopwatch
	text       strings.Builder
}

func newJSONWriter(writer http.ResponseWriter, format format, completion *completion, stopwatch *stopwatch) *jsonWriter {
	return &jsonWriter{writer: writer, format: format, completion: completion, stopwatch: stopwatch}
}

func (*jsonWriter) head(*wire.Head) error {
	return merry.New("a model engine sent the answer of a plain service")
}

func (jsonWriter *jsonWriter) chunk(chunk *wire.Chunk) error {
	jsonWriter.text.WriteString(chunk.GetText())
	jsonWriter.stopwatch.recordPiece()
	return nil
}

func (jsonWriter *jsonWriter) finish(end *wire.End) error {
	choice := completionChoice(jsonWriter.format, jsonWriter.text.String())
	choice.FinishReason = finishReason(jsonWriter.completion, end)
	writeJSON(jsonWriter.writer, http.StatusOK, completionBody{
		ID:      newCompletionID(),
		Object:  completionObject(jsonWriter.format),
		Created: jsonWriter.stopwatch.started.Unix(),
		Model:   jsonWriter.completion.modelName,
		Choices: []choiceBody{choice},
		Usage:   usage(jsonWriter.completion, end),
	})
	return nil
}

func (jsonWriter *jsonWriter) fail(refusal *call.Refusal) {
	writeRefusal(jsonWriter.writer, refusal)
}
