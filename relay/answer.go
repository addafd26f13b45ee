package relay

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/memory"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/trunk"
)

const (
	// readBufferBytes bounds one read of a stream.
	readBufferBytes = 16 << 10
	// maxBufferedBytes is the size of the largest response that is read completely before
	// any of it is forwarded.
	maxBufferedBytes = 1 << 20
	// copyBytes of a response are read ahead even if no memory is free: forwarding it as it
	// arrives needs a buffer of that size as well.
	copyBytes = 32 << 10
	// doneFields is the number of fields that the log of a request usually has.
	doneFields = 14
)

// forwardWhole forwards a response after reading it completely, unless it is larger than
// maxBufferedBytes or than the memory that is free. It returns false if the response broke before any of it was
// forwarded, so that the request may be sent to another server.
func (exchange *exchange) forwardWhole(ctx context.Context, server *pool.Server, response *responseReader) bool {
	body, whole, err := exchange.readAhead(response)
	if isRejection(err) {
		exchange.forwardPart(response, body, err)
	}
	if err != nil {
		exchange.releaseResponse()
		exchange.recordFailure(ctx, server, err)
		return false
	}
	if response.Status < http.StatusMultipleChoices && !response.EndsWithConnection {
		exchange.recordAnswer()
	}
	header := exchange.setHeader(response)
	if !whole {
		exchange.forwardLarge(response, body)
		return true
	}
	if exchange.request.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(body.Len()))
	}
	exchange.recordCompletion(response)
	exchange.recordWholeDuration(response.sentAt)
	// Neither the connection nor the request's body waits for a slow caller.
	response.Close()
	exchange.body = nil
	exchange.memory.ReleaseAll(memory.Body, exchange.now())
	exchange.writer.WriteHeader(response.Status)
	var writer io.Writer = exchange.writer
	if body.Len() > unsentBytes {
		writer = exchange.newCallerWriter(nil)
	}
	exchange.recordDone(response.Status, exchange.writePieces(writer, body))
	return true
}

// isRejection reports whether err ended the response of a server that rejected the request
// without having read it. The status tells the caller more than a failure of the relay's own, and
// there is no point in sending the request to another server.
func isRejection(err error) bool {
	var unreadRequestError *trunk.UnreadRequestError
	return errors.As(err, &unreadRequestError) &&
		unreadRequestError.Status >= http.StatusBadRequest && unreadRequestError.Status < http.StatusInternalServerError
}

// forwardPart forwards what was read of a response that broke, and ends it so that it does not
// look complete. It panics with [http.ErrAbortHandler].
func (exchange *exchange) forwardPart(response *responseReader, body memory.Pieces, cause error) {
	exchange.setHeader(response)
	exchange.writer.WriteHeader(response.Status)
	exchange.writePieces(exchange.newCallerWriter(nil), body)
	if err := exchange.writer.FlushError(); err != nil {
		exchange.abortLeft()
	}
	exchange.abort(cause)
}

// readAhead reads a response. It reports whether it was read to its end: it stops where the
// response has more than maxBufferedBytes or where no memory is free, and returns what was read
// before an error.
func (exchange *exchange) readAhead(response *responseReader) (memory.Pieces, bool, error) {
	var body memory.Pieces
	for read := int64(0); read <= maxBufferedBytes; {
		size := min(memory.NextPieceBytes(read), maxBufferedBytes+1-read)
		if response.Length >= 0 {
			// The end may only show in a read after the last byte.
			size = min(size, max(response.Length-read, 1))
		}
		if read < copyBytes {
			exchange.memory.Hold(memory.Response, size)
		} else if !exchange.memory.TryHold(memory.Response, size) {
			exchange.recordMemoryExhausted()
			return body, false, nil
		}
		piece := make([]byte, size)
		count, err := fill(response, piece)
		body = append(body, piece[:count])
		read += int64(count)
		var brokenError *trunk.BrokenError
		switch {
		case errors.Is(err, io.EOF) && !errors.As(err, &brokenError):
			return body, true, nil
		case err != nil:
			return body, false, err
		}
	}
	return body, false, nil
}

// releaseResponse gives back the memory of a response that was read ahead.
func (exchange *exchange) releaseResponse() {
	exchange.memory.ReleaseAll(memory.Response, exchange.now())
}

// writePieces writes a part of the response to the caller and returns its length.
func (exchange *exchange) writePieces(writer io.Writer, pieces memory.Pieces) int64 {
	for _, piece := range pieces {
		if _, err := writer.Write(piece); err != nil {
			exchange.abortLeft()
		}
	}
	return int64(pieces.Len())
}

// setHeader sets the header of the caller's response to what is forwarded of a server's,
// and returns it.
func (exchange *exchange) setHeader(response *responseReader) http.Header {
	header := exchange.writer.Header()
	maps.Copy(header, response.callerHeader)
	exchange.closeWhenDraining(header)
	return header
}

// forwardLarge forwards a response that is too large to buffer, beginning with what has
// been read. A caller that takes that slowly does not keep its server waiting.
func (exchange *exchange) forwardLarge(response *responseReader, read memory.Pieces) {
	exchange.writer.WriteHeader(response.Status)
	reader := exchange.newAheadReader(response)
	defer reader.stop()
	writer := exchange.newCallerWriter(reader.start)
	written := exchange.writePieces(writer, read)
	clear(read)
	exchange.releaseResponse()
	copied, err := io.Copy(writer, reader)
	if err != nil {
		exchange.abort(err)
	}
	exchange.recordCompletion(response)
	exchange.recordDone(response.Status, written+copied)
}

// abort records why a response that has begun can't be completed, and ends it so that it
// does not look complete. It panics with [http.ErrAbortHandler].
func (exchange *exchange) abort(cause error) {
	exchange.cause = cause
	if exchange.callerLeft() {
		exchange.recordCallerLeft()
	} else {
		exchange.count("cut", ReasonAnswerBroken)
		event.RequestCut.Log(exchange.relay.config.Log, exchange.fields(logrus.Fields{}))
	}
	exchange.writer.Abort()
}

// abortLeft ends a response that can't be written any more. It panics with
// [http.ErrAbortHandler].
func (exchange *exchange) abortLeft() {
	exchange.recordCallerLeft()
	exchange.writer.Abort()
}

// recordDone records that the caller has been sent a complete response.
func (exchange *exchange) recordDone(status int, bytes int64) {
	exchange.count("done", "")
	exchange.recordDuration()
	fields := make(logrus.Fields, doneFields)
	fields["status"], fields["bytes"] = status, bytes
	if reason := exchange.lateReason(); reason != "" && status < http.StatusBadRequest {
		exchange.count("late", reason)
		fields["late"] = string(reason)
	}
	event.RequestDone.Log(exchange.relay.config.Log, exchange.fields(fields))
}

// lateReason returns which objective of the route the response missed, or an empty
// reason.
func (exchange *exchange) lateReason() Reason {
	route := exchange.route
	switch {
	case !exchange.firstByteAt.IsZero() && exchange.firstByteAt.Sub(exchange.started) > route.Objective:
		return ReasonFirstEvent
	case !exchange.firstByteAt.IsZero() && route.GapObjective > 0 && exchange.longestGap > route.GapObjective:
		return ReasonPause
	case exchange.firstByteAt.IsZero() && exchange.now().Sub(exchange.started) > route.Objective:
		return ReasonAnswer
	default:
		return ""
	}
}

// forwardStream forwards a stream as it arrives. A resumable stream is forwarded in whole
// events, so that another server can continue after the last one. It returns true once
// the caller's response is complete, panics if that can't be completed, and returns false
// if nothing of the response was forwarded, as it broke before or doesn't continue the stream.
func (exchange *exchange) forwardStream(ctx context.Context, server *pool.Server, response *responseReader, encoding string) bool {
	stream := exchange.stream
	if stream == nil {
		stream = newStream(response, encoding, exchange.route.Resumable)
	} else if err := stream.checkHeader(response, encoding); err != nil {
		exchange.rejectContinuation(ctx, server, response, err)
		return false
	}
	bytes, err := exchange.copyEvents(response, newEventBuffer(stream))
	var (
		brokenError        *trunk.BrokenError
		midEvent           *midEventError
		discontinuityError *discontinuityError
	)
	switch {
	case err == nil:
		exchange.beginStream(stream, response)
		exchange.recordCompletion(response)
		exchange.recordDone(response.Status, bytes)
		exchange.recordStreamDuration(response.sentAt)
		return true
	case errors.As(err, &discontinuityError):
		exchange.rejectContinuation(ctx, server, response, err)
		return false
	case !errors.As(err, &brokenError) && !errors.As(err, &midEvent):
		exchange.abortLeft()
	}
	response.Close()
	if exchange.stream == nil {
		exchange.recordFailure(ctx, server, err)
		return false
	}
	if !exchange.reserveResume(ctx) {
		exchange.abort(err)
	}
	exchange.recordFailure(ctx, server, err)
	exchange.resumeElsewhere(ctx)
	return true
}

// beginStream sends the caller the header of a stream, unless it has been sent. It is called
// when there is something to forward: until then, the caller can be sent another response.
func (exchange *exchange) beginStream(stream *stream, response *responseReader) {
	if exchange.stream != nil {
		return
	}
	exchange.stream = stream
	exchange.setHeader(response).Del("Content-Length")
	exchange.writer.WriteHeader(response.Status)
	exchange.firstByteAt = exchange.now()
	exchange.recordFirstByte()
}

// rejectContinuation records a response that doesn't continue the caller's stream.
func (exchange *exchange) rejectContinuation(ctx context.Context, server *pool.Server, response *responseReader, err error) {
	response.Close()
	exchange.recordUnproven(server, err)
	exchange.recordFailure(ctx, server, err)
}

// copyEvents forwards a stream's events and returns the number of bytes written. Its
// error is nil at the end of the stream, a *[trunk.BrokenError] if the server broke the
// response, a *[midEventError] if it ended within an event, a *[discontinuityError] if it
// doesn't continue the stream, and another error if the caller has disconnected.
func (exchange *exchange) copyEvents(response *responseReader, events *eventBuffer) (int64, error) {
	reader := exchange.newAheadReader(response)
	defer reader.stop()
	writer := exchange.newCallerWriter(reader.start)
	buffer := takeReadBuffer()
	defer readBuffers.Put(buffer)
	total := int64(0)
	last := exchange.now()
	meter := exchange.newEventMeter(response)
	for {
		count, err := reader.Read(buffer[:])
		now := exchange.now()
		exchange.longestGap = max(exchange.longestGap, now.Sub(last))
		last = now
		ready, addErr := events.add(buffer[:count])
		if addErr != nil {
			return total, addErr
		}
		if events.begun && !exchange.answered {
			exchange.recordAnswer()
		}
		exchange.holdPending(cap(events.pending))
		meter.record(events.count, now)
		ended := errors.Is(err, io.EOF)
		var endErr error
		if ended {
			var rest []byte
			rest, endErr = events.finish()
			ready = append(ready, rest...)
		}
		if len(ready) > 0 {
			exchange.beginStream(events.stream, response)
			total += int64(len(ready))
			if writeErr := writer.writeFlushed(ready); writeErr != nil {
				return total, writeErr
			}
			if meter != nil {
				meter.wrote(exchange.now().Sub(now))
			}
		}
		if ended {
			return total, endErr
		}
		if err != nil {
			return total, err
		}
	}
}

// readBuffers holds the buffers of streams that have ended. A new one would have to be cleared.
var readBuffers sync.Pool

func takeReadBuffer() *[readBufferBytes]byte {
	if buffer, ok := readBuffers.Get().(*[readBufferBytes]byte); ok {
		return buffer
	}
	return new([readBufferBytes]byte)
}

// holdPending holds the memory of an incomplete event that a stream's buffers don't hold.
func (exchange *exchange) holdPending(bytes int) {
	if more := int64(bytes) - readBufferBytes - exchange.pendingHeld; more > 0 {
		exchange.memory.Hold(memory.Stream, more)
		exchange.pendingHeld += more
	}
}

// reserveResume reports whether a broken stream may be resumed at another server. If so,
// it takes the retry from the budget.
func (exchange *exchange) reserveResume(ctx context.Context) bool {
	return exchange.stream.resumable() && ctx.Err() == nil &&
		exchange.possibleRuns < exchange.route.MaxAttempts && exchange.relay.budget.tryWithdraw(exchange.service, exchange.now())
}

// resumeElsewhere continues a stream from other servers within the same response, or
// aborts it.
func (exchange *exchange) resumeElsewhere(ctx context.Context) {
	for {
		server, refusal := exchange.selectServer(ctx)
		if refusal != nil {
			exchange.abort(exchange.cause)
		}
		exchange.recordResent()
		if exchange.attempt(ctx, server) {
			return
		}
		if exchange.sends >= maxSends || !exchange.reserveResume(ctx) {
			exchange.abort(exchange.cause)
		}
	}
}
