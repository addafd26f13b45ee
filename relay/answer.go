package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/trunk"
)

const (
	// chunkBytes is read of an answer at once.
	chunkBytes = 16 << 10
	// mostWhole is the largest answer that is read before the caller gets its
	// beginning.
	mostWhole = 1 << 20
)

// wholeOut passes on an answer once it is there as a whole. It returns false
// where the answer broke off and the request may be sent elsewhere.
func (passage *passage) wholeOut(ctx context.Context, server *pool.Server, response *answerReader) bool {
	body, err := io.ReadAll(io.LimitReader(response, mostWhole+1))
	if err != nil {
		passage.note(ctx, server, err)
		return false
	}
	header := passage.writer.Header()
	for name, values := range passage.relay.config.Codec.CallerHeader(response.Header) {
		header[name] = values
	}
	passage.closeWhenStopping(header)
	if len(body) > mostWhole {
		passage.copyOut(response, body)
		return true
	}
	if passage.request.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	passage.writer.WriteHeader(response.Status)
	if _, err := passage.writer.Write(body); err != nil {
		passage.left()
		return true
	}
	passage.done(response.Status, int64(len(body)))
	return true
}

// copyOut passes on an answer that is too large to wait for.
func (passage *passage) copyOut(response *answerReader, read []byte) {
	passage.writer.WriteHeader(response.Status)
	written, err := passage.writer.Write(read)
	if err != nil {
		passage.left()
		return
	}
	copied, err := io.Copy(passage.writer, response)
	if err != nil {
		passage.cut(err)
	}
	passage.done(response.Status, int64(written)+copied)
}

// cut breaks off an answer that has begun. It does not return.
func (passage *passage) cut(cause error) {
	passage.cause = cause
	if passage.request.Context().Err() != nil {
		passage.left()
	} else {
		passage.count("cut", ReasonBroken)
		event.RequestCut.Log(passage.relay.config.Log, passage.fields(logrus.Fields{}))
	}
	panic(http.ErrAbortHandler)
}

func (passage *passage) done(status int, bytes int64) {
	passage.count("done", "")
	passage.took()
	fields := logrus.Fields{"status": status, "bytes": bytes}
	if late := passage.late(); late != "" && status < http.StatusBadRequest {
		passage.count("late", late)
		fields["late"] = string(late)
	}
	event.RequestDone.Log(passage.relay.config.Log, passage.fields(fields))
}

// late tells why an answer came later than its route's objective, or nothing.
func (passage *passage) late() Reason {
	route := passage.route
	switch {
	case !passage.firstAt.IsZero() && passage.firstAt.Sub(passage.started) > route.Objective:
		return ReasonFirstEvent
	case !passage.firstAt.IsZero() && route.GapObjective > 0 && passage.longestGap > route.GapObjective:
		return ReasonPause
	case passage.firstAt.IsZero() && passage.now().Sub(passage.started) > route.Objective:
		return ReasonAnswer
	default:
		return ""
	}
}

// streamOut passes on events as they come. Streams that may be resumed are passed
// on in whole events, so that another server can go on after the last one.
func (passage *passage) streamOut(ctx context.Context, server *pool.Server, response *answerReader) bool {
	if !passage.begun {
		passage.begun = true
		header := passage.writer.Header()
		for name, values := range passage.relay.config.Codec.CallerHeader(response.Header) {
			header[name] = values
		}
		header.Del("Content-Length")
		passage.closeWhenStopping(header)
		passage.writer.WriteHeader(response.Status)
		passage.firstAt = passage.now()
		passage.first()
	}
	events := &eventBuffer{whole: passage.route.Resumable}
	bytes, err := passage.copyEvents(response, events)
	var brokenError *trunk.BrokenError
	switch {
	case err == nil && events.rest() == 0:
		passage.done(response.Status, bytes)
		return true
	case err == nil:
		err = io.ErrUnexpectedEOF
	case !errors.As(err, &brokenError):
		passage.left()
		return true
	}
	if events.last != "" {
		passage.resume = events.last
	}
	response.Close()
	if !passage.resumable(ctx) {
		passage.cut(err)
	}
	passage.note(ctx, server, err)
	passage.resumeElsewhere(ctx)
	return true
}

// copyEvents returns nil at the end of the stream, a *[trunk.BrokenError] where
// the server broke off, and another error where the caller has gone.
func (passage *passage) copyEvents(response *answerReader, events *eventBuffer) (int64, error) {
	controller := http.NewResponseController(passage.writer)
	buffer := make([]byte, chunkBytes)
	total := int64(0)
	last := passage.now()
	for {
		count, err := response.Read(buffer)
		now := passage.now()
		passage.longestGap = max(passage.longestGap, now.Sub(last))
		last = now
		ready := events.add(buffer[:count])
		if len(ready) > 0 {
			total += int64(len(ready))
			if _, writeErr := passage.writer.Write(ready); writeErr != nil {
				return total, writeErr
			}
			if flushErr := controller.Flush(); flushErr != nil {
				return total, flushErr
			}
		}
		if errors.Is(err, io.EOF) {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}

func (passage *passage) resumable(ctx context.Context) bool {
	return passage.route.Kind == policy.KindStream && passage.route.Resumable && ctx.Err() == nil &&
		passage.runs < passage.route.MaxAttempts && passage.relay.budget.spend(passage.service, passage.now())
}

// resumeElsewhere goes on with a stream at other servers within the same answer,
// or breaks it off.
func (passage *passage) resumeElsewhere(ctx context.Context) {
	for {
		server, refusal := passage.place(ctx)
		if refusal != nil {
			passage.cut(passage.cause)
		}
		passage.resent()
		if passage.attempt(ctx, server) {
			return
		}
		if passage.sends >= mostSends || !passage.resumable(ctx) {
			passage.cut(passage.cause)
		}
	}
}
