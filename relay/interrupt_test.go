package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/reply"
)

// Guards against callers that get no response as they seem to have left: package net/http ends
// the request's context if reading is interrupted just when the body has been read.
func TestInterruptedReadIsNotACallerThatLeft(t *testing.T) {
	for _, interrupted := range []bool{false, true} {
		t.Run(map[bool]string{false: "a caller that has left", true: "an interrupted read"}[interrupted], func(t *testing.T) {
			g := NewWithT(t)
			logger, _ := test.NewNullLogger()
			relay := New(Config{Clock: clock.NewService(clock.ServiceConfig{}), Metrics: metrics.NewRegistry(), Log: logger, Codec: emptyCodec{}})
			ctx, cancel := context.WithCancel(t.Context())
			recorder := httptest.NewRecorder()
			request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/", nil)
			exchange := &exchange{relay: relay, writer: reply.NewWriter(recorder, request), request: request}
			if interrupted {
				exchange.interruptRead()
			}
			cancel()
			exchange.refuse(stopping())
			g.Expect(exchange.writer.Begun()).To(Equal(interrupted))
		})
	}
}

// emptyCodec adds no headers to responses.
type emptyCodec struct{ Codec }

// RefusalHeader implements [Codec].
func (emptyCodec) RefusalHeader(RequestInfo) http.Header { return nil }
