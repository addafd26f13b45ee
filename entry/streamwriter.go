package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/wire"
)

// streamWriter writes a completion as server-sent events. The stream is
// complete only if it ends with the done event. A stream that fails ends with
// an error event instead.
type streamWriter struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	format     format
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
		writer: writer, controller: http.NewResponseController(writer), format: format,
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
	if err := streamWriter.send(eventDataPrefix, streamWriter.body(chunkChoice(streamWriter.format, chunk.GetText()))); err != nil {
		return err
	}
	streamWriter.stopwatch.recordPiece()
	return nil
}

func (streamWriter *streamWriter) finish(end *wire.End) error {
	if !streamWriter.begun {
		streamWriter.begin()
	}
	choice := chunkChoice(streamWriter.format, "")
	choice.FinishReason = finishReason(streamWriter.completion, end)
	body := streamWriter.body(choice)
	body.Usage = usage(streamWriter.completion, end)
	if err := streamWriter.send(eventDataPrefix, body); err != nil {
		return err
	}
	return streamWriter.write([]byte(eventDone))
}

// fail writes the refusal as the complete response if nothing has been written
// yet, and as an error event otherwise. If it can't write the event, it aborts the
// response, which lacks the done event.
func (streamWriter *streamWriter) fail(refusal *call.Refusal) {
	if !streamWriter.begun {
		writeRefusal(streamWriter.writer, refusal)
		return
	}
	if err := streamWriter.send(eventErrorPrefix, encodeError(refusal)); err != nil {
		panic(http.ErrAbortHandler)
	}
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
		Object:  chunkObject(streamWriter.format),
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

// write writes a line with a deadline, so that a slow reader cannot block the
// stream.
func (streamWriter *streamWriter) write(line []byte) error {
	// Ignore the error of writers that support no deadline, as in tests.
	_ = streamWriter.controller.SetWriteDeadline(time.Now().Add(streamWriter.timeout))
	if _, err := streamWriter.writer.Write(line); err != nil {
		return err
	}
	return streamWriter.controller.Flush()
}
