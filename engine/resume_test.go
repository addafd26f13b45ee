package engine_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/engine"
)

// pieceEvent returns the event of a piece with an index, or without one if it is negative.
func pieceEvent(index int, text string) string {
	if index < 0 {
		return fmt.Sprintf("data: {\"choices\":[{\"text\":%q}]}\n\n", text)
	}
	return fmt.Sprintf("data: {\"choices\":[{\"text\":%q}],\"pieceIndex\":%d}\n\n", text, index)
}

// TestResponsesThatAreNotTheRestOfAStream checks that no text of an error becomes a piece,
// that no piece comes twice or out of order, and that only the done event ends a stream.
func TestResponsesThatAreNotTheRestOfAStream(t *testing.T) {
	const (
		header  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		done    = "data: [DONE]\n\n"
		failure = `{"error":{"message":"failed"}}`
	)
	chunked := func(text string) string {
		return header + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
	}
	wholeChunked := func(text string) string { return chunked(text) + "0\r\n\r\n" }
	cases := []struct {
		name     string
		offset   int
		response string
		pieces   int
		whole    bool
	}{
		{name: "the rest", offset: 2, response: wholeChunked(pieceEvent(2, "c") + pieceEvent(3, "d") + done), pieces: 2, whole: true},
		{name: "the rest, without a length", offset: 2, response: header + "\r\n" + pieceEvent(2, "c") + done, pieces: 1, whole: true},
		{name: "a comment and a named message", offset: 2, response: wholeChunked(": on\n\nevent: message\n" + pieceEvent(2, "c") + done), pieces: 1, whole: true},
		{name: "CRLF", offset: 2, response: wholeChunked("data: {\"choices\":[{\"text\":\"c\"}],\"pieceIndex\":2}\r\n\r\ndata: [DONE]\r\n\r\n"), pieces: 1, whole: true},
		{name: "a start without numbers", response: wholeChunked(pieceEvent(-1, "a") + pieceEvent(-1, "b") + done), pieces: 2, whole: true},
		{name: "a rest without numbers", offset: 2, response: wholeChunked(pieceEvent(-1, "a") + pieceEvent(-1, "b") + done)},
		{name: "numbers for some", offset: 2, response: wholeChunked(pieceEvent(2, "c") + pieceEvent(-1, "d") + done), pieces: 2, whole: true},
		{name: "the stream from its beginning", offset: 2, response: wholeChunked(pieceEvent(0, "a") + pieceEvent(1, "b") + done)},
		{name: "the last piece again", offset: 2, response: wholeChunked(pieceEvent(1, "b") + pieceEvent(2, "c") + done)},
		{name: "a piece too late", offset: 2, response: wholeChunked(pieceEvent(3, "d") + done)},
		{name: "a piece twice", offset: 2, response: wholeChunked(pieceEvent(2, "c") + pieceEvent(2, "c") + done), pieces: 1},
		{name: "an error status", offset: 2, response: "HTTP/1.1 500 Failed\r\nContent-Type: text/event-stream\r\nContent-Length: 6\r\n\r\nfailed"},
		{name: "an error in JSON", offset: 2, response: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(failure), failure)},
		{name: "no content", offset: 2, response: "HTTP/1.1 204 No Content\r\n\r\n"},
		{name: "an empty stream", offset: 2, response: header + "Content-Length: 0\r\n\r\n"},
		{name: "an error as data", offset: 2, response: wholeChunked(pieceEvent(2, "c") + "data: " + failure + "\n\n" + done), pieces: 1},
		{name: "an error beside a piece", offset: 2, response: wholeChunked(pieceEvent(2, "c") + "data: {\"error\":\"failed\",\"choices\":[{\"text\":\"failed\"}]}\n\n" + done), pieces: 1},
		{name: "an error event", offset: 2, response: wholeChunked(pieceEvent(2, "c") + "event: error\ndata: " + failure + "\n\n" + done), pieces: 1},
		{name: "an error event that looks like a piece", offset: 2, response: wholeChunked(pieceEvent(2, "c") + "event: error\n" + pieceEvent(3, "failed") + done), pieces: 1},
		{name: "an error event that is done", offset: 2, response: wholeChunked(pieceEvent(2, "c") + "event: error\n" + done), pieces: 1},
		{name: "an error event without data", offset: 2, response: wholeChunked(pieceEvent(2, "c") + "event: error\n\n" + done), pieces: 1},
		{name: "an error's text", offset: 2, response: wholeChunked(pieceEvent(2, "c") + "HTTP/1.1 500 Failed\r\n\r\nfailed"), pieces: 1},
		{name: "a clean end without done", offset: 2, response: wholeChunked(pieceEvent(2, "c")), pieces: 1},
		{name: "a clean end within done", offset: 2, response: wholeChunked(pieceEvent(2, "c") + "data: [DON"), pieces: 1},
		{name: "a clean end within a piece", offset: 2, response: wholeChunked(pieceEvent(2, "c") + "data: {\"choices\":[{\"text\":\"d"), pieces: 1},
		{name: "a closed connection without done", offset: 2, response: header + "\r\n" + pieceEvent(2, "c"), pieces: 1},
		{name: "a break after a piece", offset: 2, response: chunked(pieceEvent(2, "c")), pieces: 1},
		{name: "a break at a character of several bytes", offset: 2, response: chunked(pieceEvent(2, "c") + "data: {\"choices\":[{\"text\":\"gr\xc3"), pieces: 1},
		{name: "a break within the size of a chunk", offset: 2, response: chunked(pieceEvent(2, "c")) + "4", pieces: 1},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				_, _ = io.Copy(io.Discard, request.Body)
				conn, _, err := http.NewResponseController(writer).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, each.response)
			}))
			defer server.Close()
			client := engine.NewHTTPEngine(engine.HTTPEngineConfig{URL: server.URL})
			defer client.Close()
			wanted := generation("r1", "p")
			wanted.Offset = each.offset
			pieces, err := collect(client, wanted)
			g.Expect(pieces).To(HaveLen(each.pieces))
			for index, piece := range pieces {
				g.Expect(piece.Index).To(Equal(each.offset + index))
				g.Expect(piece.Text).NotTo(ContainSubstring("failed"))
			}
			if each.whole {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			var brokenError *engine.BrokenError
			var statusError *engine.StatusError
			g.Expect(errors.As(err, &brokenError) || errors.As(err, &statusError)).To(BeTrue(), "%v", err)
		})
	}
}
