package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/memory"
	"github.com/basilkeel/basilkeel/policy"
)

const (
	// streamBytes is the memory of a response that is forwarded as it arrives: buffers of
	// both connections, of the relay and of the kernel.
	streamBytes = 48 << 10
	// memoryRetryAfter is the time to a retry after a refusal for lack of memory. Requests
	// with large bodies usually take about a second.
	memoryRetryAfter = time.Second
	// memoryPollPeriod is the interval at which a body that waits for memory checks for
	// memory that others don't use.
	memoryPollPeriod = 200 * time.Millisecond
	// memoryWaitRatio bounds the wait for memory as a fraction of the time that is left.
	memoryWaitRatio = 0.25
)

// readBody reads the request's body of at most maxBytes; zero means no limit. It fails if ctx
// ends before.
func (exchange *exchange) readBody(ctx context.Context, maxBytes int64) *refusal {
	if exchange.request.ContentLength != 0 {
		defer context.AfterFunc(ctx, exchange.interruptRead)()
	}
	var reader io.Reader = exchange.request.Body
	length := exchange.request.ContentLength
	if maxBytes > 0 {
		if length > maxBytes {
			return &refusal{status: http.StatusRequestEntityTooLarge, reason: ReasonBodyTooLarge}
		}
		reader = http.MaxBytesReader(exchange.writer.Unwrap(), exchange.request.Body, maxBytes)
	}
	exchange.memoryWait = min(memory.MaxWait, time.Duration(memoryWaitRatio*float64(exchange.deadline.Sub(exchange.started))))
	bounded := exchange.relay.config.Memory.Limit() > 0
	if bounded && length != 0 {
		reader = exchange.newBodyReader(reader)
	}
	read := int64(0)
	for length < 0 || read < length {
		if bounded && read > 0 && exchange.now().After(exchange.deadline) {
			return exchange.bodyNotRead(os.ErrDeadlineExceeded)
		}
		piece := memory.NextPieceBytes(read)
		rest := piece
		if length >= 0 {
			rest = length - read
			piece = min(piece, rest)
		} else if maxBytes > 0 && read >= memory.SmallBytes {
			rest = maxBytes - read
		}
		if refusal := exchange.holdBody(ctx, piece, rest); refusal != nil {
			return refusal
		}
		buffer := make([]byte, piece)
		count, err := fill(reader, buffer)
		exchange.body = append(exchange.body, buffer[:count])
		read += int64(count)
		if err != nil && length < 0 && errors.Is(err, io.EOF) {
			break
		}
		if err != nil && read != length {
			return exchange.bodyNotRead(err)
		}
	}
	if read > memory.SmallBytes {
		exchange.memory.EndBody(exchange.now())
	}
	return nil
}

// bodyNotRead returns the refusal of a request whose body can't be read to its end.
func (exchange *exchange) bodyNotRead(err error) *refusal {
	exchange.cause = err
	if errors.Is(err, io.EOF) {
		exchange.cause = io.ErrUnexpectedEOF
	}
	var sizeError *http.MaxBytesError
	switch {
	case exchange.relay.progress.hasEnded():
		return stopping()
	case errors.As(err, &sizeError):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: ReasonBodyTooLarge}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{status: http.StatusRequestTimeout, reason: ReasonBodyNotRead, retryAfter: memoryRetryAfter}
	default:
		return &refusal{status: http.StatusBadRequest, reason: ReasonBodyNotRead}
	}
}

// interruptRead makes reading the body fail.
func (exchange *exchange) interruptRead() {
	exchange.interrupted.Store(true)
	// An error means that the connection has ended already.
	_ = http.NewResponseController(exchange.writer).SetReadDeadline(interruptedAt)
}

// callerLeft reports whether the caller has closed the connection. The request's context also
// ends if reading was interrupted just when the body had been read.
func (exchange *exchange) callerLeft() bool {
	return exchange.request.Context().Err() != nil && !exchange.interrupted.Load()
}

// fill reads until buffer is full or reading fails. The error is not nil if buffer is not
// full.
func fill(reader io.Reader, buffer []byte) (int, error) {
	count := 0
	for count < len(buffer) {
		more, err := reader.Read(buffer[count:])
		count += more
		if err != nil {
			return count, err
		}
	}
	return count, nil
}

// holdBody holds memory for the next piece of the body, of which rest bytes may follow with
// that piece. It waits for memory for a limited time.
func (exchange *exchange) holdBody(ctx context.Context, piece, rest int64) *refusal {
	for {
		wait, err := exchange.memory.HoldBody(piece, rest, exchange.now())
		switch {
		case err != nil:
			exchange.cause = err
			return exchange.memoryRefusal()
		case wait == nil:
			return nil
		case !exchange.awaitMemory(ctx, wait):
			exchange.cause = &memory.ExhaustedError{Bytes: piece}
			return exchange.memoryRefusal()
		}
	}
}

// awaitMemory reports whether wait was granted before the request's time for waiting was
// used up.
func (exchange *exchange) awaitMemory(ctx context.Context, wait *memory.Wait) bool {
	exchange.recordMemoryExhausted()
	began := exchange.now()
	for {
		now := exchange.now()
		left := exchange.memoryWait - now.Sub(began)
		if left <= 0 {
			wait.Cancel(now)
			return false
		}
		select {
		case <-wait.Granted():
			exchange.memoryWait -= exchange.now().Sub(began)
			return true
		case <-ctx.Done():
			wait.Cancel(exchange.now())
			return false
		case <-exchange.relay.config.Clock.After(min(left, memoryPollPeriod)):
			exchange.relay.endSlowCaller()
			wait.Poll(exchange.now())
		}
	}
}

// holdStream holds the memory of a stream, if the request gets one.
func (exchange *exchange) holdStream() *refusal {
	if exchange.route.Kind != policy.KindStream || exchange.memory.TryHold(memory.Stream, streamBytes) {
		return nil
	}
	exchange.recordMemoryExhausted()
	exchange.relay.endSlowCaller()
	return exchange.memoryRefusal()
}

// memoryRefusal returns the refusal of a request for lack of memory.
func (exchange *exchange) memoryRefusal() *refusal {
	metrics.GetOrRegisterCounter("memory.refused", exchange.relay.config.Metrics).Inc(1)
	return &refusal{status: http.StatusServiceUnavailable, reason: ReasonMemory, retryAfter: memoryRetryAfter}
}

// recordMemoryExhausted logs, at most once a second, that the memory for callers and servers
// is exhausted.
func (exchange *exchange) recordMemoryExhausted() {
	budget := exchange.relay.config.Memory
	if !budget.ShouldReport(exchange.now()) {
		return
	}
	fields := logrus.Fields{"limit": budget.Limit(), "promised": budget.Promised(), "waiting": budget.Waiting()}
	for _, purpose := range memory.Purposes() {
		fields[purpose.String()] = budget.Held(purpose)
	}
	event.MemoryExhausted.Log(exchange.relay.config.Log, fields)
}

// registerMemory registers the gauges of what a budget holds.
func registerMemory(budget *memory.Budget, registry metrics.Registry) {
	for _, purpose := range memory.Purposes() {
		metrics.NewRegisteredFunctionalGauge("memory.bytes."+purpose.String(), registry, func() int64 { return budget.Held(purpose) })
	}
	metrics.NewRegisteredFunctionalGauge("memory.promisedBytes", registry, budget.Promised)
	metrics.NewRegisteredFunctionalGauge("memory.waiting", registry, func() int64 { return int64(budget.Waiting()) })
	metrics.NewRegisteredFunctionalGauge("memory.limitBytes", registry, budget.Limit)
}
