package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/wire"
)

// streamWriter writes a completion as server-sent events. The stream is whole
// only if it ends with the done event; an error event stands in its place.
type streamWriter struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	form       format
	completion *completion
	stopwatch  *stopwatch
	timeout    time.Duration
	id         string
	begun      bool
}

const (
	eventDataPrefix  = "data: "
	eventErrorPrefix = "event: error\ndata: "
	eventEnd         = "\n\n"
	eventDone        = "data: [DONE]\n\n"
)

func newStreamWriter(writer http.ResponseWriter, format format, completion *completion, stopwatch *stopwatch, timeout time.Duration) *streamWriter {
	return &streamWriter{
		writer: writer, controller: http.NewResponseController(writer), form: format,
		completion: completion, stopwatch: stopwatch, timeout: timeout, id: newCompletionID(),
	}
}

func (*streamWriter) head(*wire.Head) error {
	return merry.New("a model engine sent the answer of a plain service")
}

func (streamWriter *streamWriter) chunk(chunk *wire.Chunk) error {
	if !streamWriter.begun {
		streamWriter.begin()
	}
	if err := streamWriter.send(eventDataPrefix, streamWriter.body(chunkChoice(streamWriter.form, chunk.GetText()))); err != nil {
		return err
	}
	streamWriter.stopwatch.recordPiece()
	return nil
}

func (streamWriter *streamWriter) finish(end *wire.End) error {
	if !streamWriter.begun {
		streamWriter.begin()
	}
	choice := chunkChoice(streamWriter.form, "")
	choice.FinishReason = finishReason(streamWriter.completion, end)
	body := streamWriter.body(choice)
	body.Usage = usage(streamWriter.completion, end)
	if err := streamWriter.send(eventDataPrefix, body); err != nil {
		return err
	}
	return streamWriter.write([]byte(eventDone))
}

// fail writes the refusal as a plain answer where nothing has been written, and
// as an error event otherwise.
func (streamWriter *streamWriter) fail(refusal *call.Refusal) {
	if !streamWriter.begun {
		writeRefusal(streamWriter.writer, refusal)
		return
	}
	// A caller that does not read sees the connection end without the done event.
	_ = streamWriter.send(eventErrorPrefix, encodeError(refusal))
}

func (streamWriter *streamWriter) begin() {
	streamWriter.begun = true
	header := streamWriter.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	streamWriter.writer.WriteHeader(http.StatusOK)
}

func (streamWriter *streamWriter) body(choice choiceBody) completionBody {
	return completionBody{
		ID:      streamWriter.id,
		Object:  chunkObject(streamWriter.form),
		Created: streamWriter.stopwatch.started.Unix(),
		Model:   streamWriter.completion.modelName,
		Choices: []choiceBody{choice},
	}
}

func (streamWriter *streamWriter) send(prefix string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	line := make([]byte, 0, len(prefix)+len(encoded)+len(eventEnd))
	line = append(line, prefix...)
	line = append(line, encoded...)
	line = append(line, eventEnd...)
	return streamWriter.write(line)
}

// write bounds the time that a slow reader can hold the stream.
func (streamWriter *streamWriter) write(line []byte) error {
	// Writers that have no deadline, as in tests, go without.
	_ = streamWriter.controller.SetWriteDeadline(time.Now().Add(streamWriter.timeout))
	if _, err := streamWriter.writer.Write(line); err != nil {
		return err
	}
	return streamWriter.controller.Flush()
}
