package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
)

const eventStream = "Content-Type: text/event-stream\r\n"

// chunk returns text as one chunk of a body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// chunked returns the bytes of a response in chunks. Without the last chunk, it is
// incomplete.
func chunked(header, text string) string {
	return "HTTP/1.1 200 OK\r\nId: call-1\r\nStamp: s\r\n" + header + "Transfer-Encoding: chunked\r\n\r\n" + chunk(text)
}

// whole returns the bytes of a complete response with a length.
func whole(status, header, text string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nId: call-1\r\nStamp: s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(text), text)
}

// unframed returns the bytes of a response that ends with its connection.
func unframed(header, text string) string {
	return "HTTP/1.1 200 OK\r\nId: call-1\r\nStamp: s\r\n" + header + "\r\n" + text
}

const lastChunk = "0\r\n\r\n"

// run is what a server writes before it closes the connection.
type run struct {
	bytes string
	// reset makes the connection end with a reset.
	reset bool
	// again reports whether the connection stays open for further requests.
	again bool
}

func (run run) write(conn net.Conn) {
	_, _ = io.WriteString(conn, run.bytes)
	if run.again {
		return
	}
	if tcpConn, ok := conn.(*net.TCPConn); ok && run.reset {
		// The reset must not overtake the bytes.
		time.Sleep(50 * time.Millisecond)
		_ = tcpConn.SetLinger(0)
	}
	conn.Close()
}

// runsFixture has a server for each of runs, which are written in this order to the
// attempts of one request.
func runsFixture(t *testing.T, resumable bool, maxAttempts int, runs []run) (*fixture, func() []string) {
	t.Helper()
	later := route("later", policy.KindStream, "notes")
	later.Resumable, later.MaxAttempts = resumable, maxAttempts
	fixture := newFixture(t, later)
	// mutex guards resumes.
	var mutex sync.Mutex
	var resumes []string
	handle := func(writer http.ResponseWriter, request *http.Request) {
		mutex.Lock()
		number := len(resumes)
		resumes = append(resumes, request.Header.Get("Resume"))
		mutex.Unlock()
		if number < len(runs) {
			runs[number].write(hijack(writer))
		}
	}
	for index := range max(len(runs), 2) {
		fixture.server(names.BackendServer(fmt.Sprintf("notes-%d", index+1)), "notes", handle)
	}
	return fixture, func() []string {
		mutex.Lock()
		defer mutex.Unlock()
		return append([]string{}, resumes...)
	}
}

// TestResumptionsThatDoNotContinueTheStream checks that no byte of a response that doesn't
// continue a broken stream reaches the caller, to whom the stream must look broken.
func TestResumptionsThatDoNotContinueTheStream(t *testing.T) {
	cases := []struct {
		name string
		next string
	}{
		{"an error in JSON", whole("200 OK", "Content-Type: application/json\r\n", `{"error":"failed"}`)},
		{"an error in JSON without a type", whole("200 OK", "", `{"error":"failed"}`)},
		{"an error in JSON that claims to be a stream", whole("200 OK", eventStream, `{"error":"failed"}`)},
		{"an error in JSON as an event", chunked(eventStream, "data: {\"error\":\"failed\"}\n\n") + lastChunk},
		{"an error event", chunked(eventStream, "event: error\ndata: failed\n\n") + lastChunk},
		{"an error event with the next ID", chunked(eventStream, "event: error\nid: 3\ndata: failed\n\n") + lastChunk},
		{"a page", chunked("Content-Type: text/html\r\n", "<html>\n\n</html>") + lastChunk},
		{"events of another type", chunked("Content-Type: text/plain\r\n", events(3, 4)) + lastChunk},
		{"events without a type", chunked("", events(3, 4)) + lastChunk},
		{"an empty body", whole("200 OK", "", "")},
		{"an empty stream", whole("200 OK", eventStream, "")},
		{"an empty stream in chunks", "HTTP/1.1 200 OK\r\nId: call-1\r\nStamp: s\r\n" + eventStream + "Transfer-Encoding: chunked\r\n\r\n" + lastChunk},
		{"an empty stream that ends with its connection", unframed(eventStream, "")},
		{"a comment only", chunked(eventStream, ": nothing left\n\n") + lastChunk},
		{"no content", "HTTP/1.1 204 No Content\r\nId: call-1\r\nStamp: s\r\n\r\n"},
		{"another success", whole("206 Partial Content", eventStream, events(3, 4))},
		{"a redirect", whole("302 Found", eventStream+"Location: /\r\n", events(3, 4))},
		{"an error that claims to be a stream", whole("500 Internal Server Error", eventStream, events(3, 4))},
		{"another encoding", whole("200 OK", eventStream+"Content-Encoding: gzip\r\n", events(3, 4))},
		{"the stream from its beginning", chunked(eventStream, events(1, 4)) + lastChunk},
		{"the last event again", chunked(eventStream, events(2, 4)) + lastChunk},
		{"an event too late", chunked(eventStream, events(4, 4)) + lastChunk},
		{"an event before the first", chunked(eventStream, events(0, 4)) + lastChunk},
		{"events without IDs", chunked(eventStream, "data: piece 3\n\ndata: piece 4\n\n") + lastChunk},
		{"an ID that is empty", chunked(eventStream, "id:\ndata: piece 3\n\n") + lastChunk},
		{"an ID that is no number", chunked(eventStream, "id: three\ndata: piece 3\n\n") + lastChunk},
		{"an ID beyond all numbers", chunked(eventStream, "id: 18446744073709551619\ndata: piece 3\n\n") + lastChunk},
		{"the next event, but incomplete", chunked(eventStream, "id: 3\ndata: pie") + lastChunk},
		{"an event that is too long", chunked(eventStream, "id: 3\ndata: "+strings.Repeat("x", 2<<20)) + lastChunk},
		{"no response", ""},
		{"bytes that are no response", "\x00\xff nothing\r\n\r\n"},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			fixture, resumes := runsFixture(t, true, 2, []run{{bytes: chunked(eventStream, events(1, 2))}, {bytes: each.next}})
			result := fixture.call(http.MethodPost, "/later/1", "prompt", map[string]string{"Model": "notes"})
			g.Expect(result.status).To(Equal(http.StatusOK))
			g.Expect(result.body).To(Equal(events(1, 2)))
			g.Expect(result.err).To(HaveOccurred(), "it must not look complete")
			g.Expect(resumes()).To(Equal([]string{"", "2"}))
		})
	}
}

// TestRejectedResumptionIsLogged checks that a response that doesn't continue a stream is
// named in the log with what is wrong.
func TestRejectedResumptionIsLogged(t *testing.T) {
	g := NewWithT(t)
	fixture, _ := runsFixture(t, true, 2, []run{{bytes: chunked(eventStream, events(1, 2))}, {bytes: chunked(eventStream, events(1, 4)) + lastChunk}})
	fixture.call(http.MethodPost, "/later/1", "prompt", map[string]string{"Model": "notes"})
	var causes []any
	for _, entry := range fixture.logs.AllEntries() {
		if entry.Data["event"] == int(event.ResponseUnproven.Number()) {
			causes = append(causes, entry.Data["cause"])
		}
	}
	g.Expect(causes).To(ConsistOf(`response that is to continue a stream after event "2" begins with event "1"`))
}

// TestContinuedStreams checks streams that consist of the runs of several servers.
func TestContinuedStreams(t *testing.T) {
	first := run{bytes: chunked(eventStream, events(1, 2))}
	rest := chunked(eventStream, events(3, 4)) + lastChunk
	cases := []struct {
		name        string
		runs        []run
		maxAttempts int
		// status is that of the response; zero means 200 if there is a body.
		status  int
		want    string
		whole   bool
		resumes []string
	}{
		{name: "a second run", runs: []run{first, {bytes: rest}}, maxAttempts: 2, want: events(1, 4), whole: true, resumes: []string{"", "2"}},
		{
			name: "a type with other parameters and another case", maxAttempts: 2,
			runs: []run{first, {bytes: chunked("Content-Type: Text/Event-Stream; charset=utf-8\r\n", events(3, 4)) + lastChunk}},
			want: events(1, 4), whole: true, resumes: []string{"", "2"},
		},
		{
			name: "a comment and a version before the next event", maxAttempts: 2,
			runs: []run{first, {bytes: chunked(eventStream, ": on\n\nretry: 9\n\nversion: 3\n"+events(3, 4)) + lastChunk}},
			want: events(1, 2) + ": on\n\nretry: 9\n\nversion: 3\n" + events(3, 4), whole: true, resumes: []string{"", "2"},
		},
		{
			name: "a second run that ends with its connection", maxAttempts: 2,
			runs: []run{first, {bytes: unframed(eventStream, events(3, 4))}}, want: events(1, 4), whole: true, resumes: []string{"", "2"},
		},
		{
			name: "a second run that is reset", maxAttempts: 2,
			runs: []run{first, {bytes: unframed(eventStream, events(3, 3)), reset: true}}, want: events(1, 3), resumes: []string{"", "2"},
		},
		{
			name: "a second run that breaks, and no third", maxAttempts: 2,
			runs: []run{first, {bytes: chunked(eventStream, events(3, 3))}, {bytes: rest}}, want: events(1, 3), resumes: []string{"", "2"},
		},
		{
			name: "a second run that breaks, and a third", maxAttempts: 3,
			runs: []run{first, {bytes: chunked(eventStream, events(3, 3)+"id: 4")}, {bytes: chunked(eventStream, events(4, 4)) + lastChunk}},
			want: events(1, 4), whole: true, resumes: []string{"", "2", "3"},
		},
		{
			name: "an error, and a third run", maxAttempts: 3,
			runs: []run{first, {bytes: whole("500 Internal Server Error", "", "failed")}, {bytes: rest}},
			want: events(1, 4), whole: true, resumes: []string{"", "2", "2"},
		},
		{
			name: "a run from the beginning, and a third run", maxAttempts: 3,
			runs: []run{first, {bytes: chunked(eventStream, events(1, 4)) + lastChunk}, {bytes: rest}},
			want: events(1, 4), whole: true, resumes: []string{"", "2", "2"},
		},
		{
			name: "no stream, and a third run", maxAttempts: 3,
			runs: []run{first, {bytes: whole("200 OK", "Content-Type: application/json\r\n", "{}")}, {bytes: rest}},
			want: events(1, 4), whole: true, resumes: []string{"", "2", "2"},
		},
		{
			name: "two errors", maxAttempts: 3,
			runs: []run{first, {bytes: whole("500 Internal Server Error", "", "failed")}, {bytes: whole("504 Gateway Timeout", "", "failed")}},
			want: events(1, 2), resumes: []string{"", "2", "2"},
		},
		{
			name: "a second run before the first event is complete", maxAttempts: 2,
			runs: []run{{bytes: chunked(eventStream, "id: 1\ndata: piece 1\n")}, {bytes: chunked(eventStream, events(1, 4)) + lastChunk}},
			want: events(1, 4), whole: true, resumes: []string{"", ""},
		},
		{
			name: "an error before the first event is complete", maxAttempts: 2,
			runs:   []run{{bytes: chunked(eventStream, "id: 1\ndata: piece 1\n")}, {bytes: whole("500 Internal Server Error", "", "failed")}},
			status: http.StatusInternalServerError, want: "failed", whole: true, resumes: []string{"", ""},
		},
		{
			name: "no stream before the first event is complete", maxAttempts: 2,
			runs: []run{{bytes: chunked(eventStream, "id: 1\ndata: piece 1\n")}, {bytes: whole("200 OK", "Content-Type: application/json\r\n", "{}")}},
			want: "{}", whole: true, resumes: []string{"", ""},
		},
		{
			name: "events without IDs can't be continued", maxAttempts: 2,
			runs: []run{{bytes: chunked(eventStream, "data: piece 1\n\n")}, {bytes: chunked(eventStream, "data: piece 1\n\ndata: piece 2\n\n") + lastChunk}},
			want: "data: piece 1\n\n", resumes: []string{""},
		},
		{
			name: "nor can an event without an ID after one with an ID", maxAttempts: 2,
			runs: []run{{bytes: chunked(eventStream, events(1, 1)+"data: more\n\n")}, {bytes: chunked(eventStream, events(2, 4)) + lastChunk}},
			want: events(1, 1) + "data: more\n\n", resumes: []string{""},
		},
		{
			name: "numbers with gaps go on above the last one", maxAttempts: 2,
			runs: []run{{bytes: chunked(eventStream, events(1, 1)+events(5, 5))}, {bytes: chunked(eventStream, events(9, 9)) + lastChunk}},
			want: events(1, 1) + events(5, 5) + events(9, 9), whole: true, resumes: []string{"", "5"},
		},
		{
			name: "numbers with gaps don't go back", maxAttempts: 2,
			runs: []run{{bytes: chunked(eventStream, events(1, 1)+events(5, 5))}, {bytes: chunked(eventStream, events(4, 4)) + lastChunk}},
			want: events(1, 1) + events(5, 5), resumes: []string{"", "5"},
		},
		{
			name: "IDs that are no numbers", maxAttempts: 2,
			runs: []run{{bytes: chunked(eventStream, "id: a\ndata: 1\n\nid: b\ndata: 2\n\n")}, {bytes: chunked(eventStream, "id: c\ndata: 3\n\n") + lastChunk}},
			want: "id: a\ndata: 1\n\nid: b\ndata: 2\n\nid: c\ndata: 3\n\n", whole: true, resumes: []string{"", "b"},
		},
		{
			name: "IDs that are no numbers, from the beginning", maxAttempts: 2,
			runs: []run{{bytes: chunked(eventStream, "id: a\ndata: 1\n\nid: b\ndata: 2\n\n")}, {bytes: chunked(eventStream, "id: a\ndata: 1\n\n") + lastChunk}},
			want: "id: a\ndata: 1\n\nid: b\ndata: 2\n\n", resumes: []string{"", "b"},
		},
		{
			name: "a comment at the end of the first run", maxAttempts: 2,
			runs: []run{{bytes: chunked(eventStream, events(1, 2)+": bye") + lastChunk}, {bytes: rest}}, want: events(1, 2) + ": bye", whole: true, resumes: []string{""},
		},
		{
			name: "a comment at the end of the second run", maxAttempts: 2,
			runs: []run{first, {bytes: chunked(eventStream, events(3, 4)+": bye") + lastChunk}}, want: events(1, 4) + ": bye", whole: true, resumes: []string{"", "2"},
		},
		{
			name: "a clean end within an event", maxAttempts: 2,
			runs: []run{{bytes: chunked(eventStream, events(1, 2)+"id: 3\ndata") + lastChunk}, {bytes: rest}},
			want: events(1, 4), whole: true, resumes: []string{"", "2"},
		},
		{
			name: "a clean end within an event, twice", maxAttempts: 2,
			runs: []run{{bytes: chunked(eventStream, events(1, 2)+"id: 3\ndata") + lastChunk}, {bytes: chunked(eventStream, events(3, 3)+"id: 4\n") + lastChunk}},
			want: events(1, 3), resumes: []string{"", "2"},
		},
		{
			name: "a closed connection within an event of a response without a length", maxAttempts: 2,
			runs: []run{{bytes: unframed(eventStream, events(1, 2)+"id: 3\nda")}, {bytes: rest}}, want: events(1, 4), whole: true, resumes: []string{"", "2"},
		},
		{
			name: "a reset after an event of a response without a length", maxAttempts: 2,
			runs: []run{{bytes: unframed(eventStream, events(1, 2)), reset: true}, {bytes: rest}}, want: events(1, 4), whole: true, resumes: []string{"", "2"},
		},
		{
			name: "a length that is not reached", maxAttempts: 2,
			runs: []run{{bytes: strings.TrimSuffix(whole("200 OK", eventStream, events(1, 4)), events(3, 4))}, {bytes: rest}},
			want: events(1, 4), whole: true, resumes: []string{"", "2"},
		},
		{
			name: "a break within the size of a chunk", maxAttempts: 2,
			runs: []run{{bytes: first.bytes + "2"}, {bytes: rest}}, want: events(1, 4), whole: true, resumes: []string{"", "2"},
		},
		{
			name: "a size of a chunk that is none", maxAttempts: 2,
			runs: []run{{bytes: first.bytes + "failed\r\n"}, {bytes: rest}}, want: events(1, 4), whole: true, resumes: []string{"", "2"},
		},
		{
			name: "an error's text within a chunk's place", maxAttempts: 2,
			runs: []run{{bytes: first.bytes + whole("500 Internal Server Error", "", "failed")}, {bytes: rest}}, want: events(1, 4), whole: true, resumes: []string{"", "2"},
		},
		{
			name: "a break before the last chunk is complete", maxAttempts: 2,
			runs: []run{{bytes: first.bytes + "0\r\n"}, {bytes: rest}}, want: events(1, 4), whole: true, resumes: []string{"", "2"},
		},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			fixture, resumes := runsFixture(t, true, each.maxAttempts, each.runs)
			result := fixture.call(http.MethodPost, "/later/1", "prompt", map[string]string{"Model": "notes"})
			switch {
			case each.status != 0:
				g.Expect(result.status).To(Equal(each.status))
			case each.want != "":
				g.Expect(result.status).To(Equal(http.StatusOK))
			}
			g.Expect(result.body).To(Equal(each.want))
			if each.whole {
				g.Expect(result.err).NotTo(HaveOccurred())
			} else {
				g.Expect(result.err).To(HaveOccurred(), "it must not look complete")
			}
			g.Expect(resumes()).To(Equal(each.resumes))
		})
	}
}

// TestStreamsBrokenAtEachByteAreContinued checks that the caller gets the same bytes
// wherever the first run breaks, and for each kind of line ends.
func TestStreamsBrokenAtEachByteAreContinued(t *testing.T) {
	blocks := []string{
		": begin\nid: 9\ndata: größer\ndata: 日本\n\n",
		"version: 2\nid: 10\ndata: id: 99\n\n",
		"id:11\nevent: note\ndata\n\n",
		": pause\n\nid: 12\ndata: end\n\n",
	}
	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		translated := make([]string, len(blocks))
		for index, block := range blocks {
			translated[index] = strings.ReplaceAll(block, "\n", lineEnd)
		}
		all := strings.Join(translated, "")
		t.Run(strconv.Quote(lineEnd), func(t *testing.T) {
			t.Parallel()
			for cut := 2; cut < len(all); cut++ {
				g := NewWithT(t)
				later := route("later", policy.KindStream, "notes")
				later.Resumable = true
				fixture := newFixture(t, later)
				// mutex guards sent.
				var mutex sync.Mutex
				sent := 0
				handle := func(writer http.ResponseWriter, request *http.Request) {
					mutex.Lock()
					sent++
					firstRun := sent == 1
					mutex.Unlock()
					if firstRun {
						run{bytes: chunked(eventStream, all[:cut/2]) + chunk(all[cut/2:cut])}.write(hijack(writer))
						return
					}
					rest := translated
					if last, err := strconv.Atoi(request.Header.Get("Resume")); err == nil {
						rest = translated[last-8:]
					}
					run{bytes: chunked(eventStream, strings.Join(rest, "")) + lastChunk}.write(hijack(writer))
				}
				fixture.server("notes-1", "notes", handle)
				fixture.server("notes-2", "notes", handle)
				result := fixture.call(http.MethodPost, "/later/1", "prompt", map[string]string{"Model": "notes"})
				fixture.front.Close()
				g.Expect(result.err).NotTo(HaveOccurred(), "cut after %q", all[:cut])
				g.Expect(withoutRepeatedComments(result.body, lineEnd)).To(Equal(withoutRepeatedComments(all, lineEnd)), "cut after %q", all[:cut])
			}
		})
	}
}

// withoutRepeatedComments removes the comments that stand alone, which may come twice.
func withoutRepeatedComments(text, lineEnd string) string {
	return strings.ReplaceAll(text, ": pause"+lineEnd+lineEnd, "")
}

// TestStreamsThatCannotBeResumed checks streams of a route whose requests run at most
// once: they are forwarded as they come, and visibly break off where they break.
func TestStreamsThatCannotBeResumed(t *testing.T) {
	cases := []struct {
		name  string
		run   run
		want  string
		whole bool
	}{
		{name: "a whole stream", run: run{bytes: chunked(eventStream, events(1, 2)) + lastChunk}, want: events(1, 2), whole: true},
		{name: "a stream with comments at its end", run: run{bytes: chunked(eventStream, events(1, 2)+": bye") + lastChunk}, want: events(1, 2) + ": bye", whole: true},
		{name: "a stream with CRLF", run: run{bytes: chunked(eventStream, "data: 1\r\n\r\n") + lastChunk}, want: "data: 1\r\n\r\n", whole: true},
		{name: "a stream with CR", run: run{bytes: chunked(eventStream, "data: 1\r\r") + lastChunk}, want: "data: 1\r\r", whole: true},
		{name: "a whole stream without a length", run: run{bytes: unframed(eventStream, events(1, 2))}, want: events(1, 2), whole: true},
		{name: "a body that is no stream", run: run{bytes: whole("200 OK", "Content-Type: application/json\r\n", "{}")}, want: "{}", whole: true},
		{name: "a break after an event", run: run{bytes: chunked(eventStream, events(1, 2))}, want: events(1, 2)},
		{name: "a break within an event", run: run{bytes: chunked(eventStream, events(1, 2)+"id: 3")}, want: events(1, 2) + "id: 3"},
		{name: "a clean end within an event", run: run{bytes: chunked(eventStream, events(1, 2)+"id: 3\ndata: pie") + lastChunk}, want: events(1, 2) + "id: 3\ndata: pie"},
		{name: "a clean end within an ID", run: run{bytes: chunked(eventStream, events(1, 2)+"id: ") + lastChunk}, want: events(1, 2) + "id: "},
		{name: "a clean end between two newlines", run: run{bytes: chunked(eventStream, events(1, 2)+"id: 3\ndata: piece 3\n") + lastChunk}, want: events(1, 2) + "id: 3\ndata: piece 3\n"},
		{name: "a length that ends within an event", run: run{bytes: whole("200 OK", eventStream, events(1, 2)+"id: 3")}, want: events(1, 2) + "id: 3"},
		{name: "a closed connection within an event", run: run{bytes: unframed(eventStream, events(1, 2)+"id: 3")}, want: events(1, 2) + "id: 3"},
		{name: "a reset after an event", run: run{bytes: unframed(eventStream, events(1, 2)), reset: true}, want: events(1, 2)},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			fixture, resumes := runsFixture(t, false, 2, []run{each.run})
			result := fixture.call(http.MethodPost, "/later/1", "prompt", map[string]string{"Model": "notes"})
			g.Expect(result.status).To(Equal(http.StatusOK))
			g.Expect(result.body).To(Equal(each.want))
			if each.whole {
				g.Expect(result.err).NotTo(HaveOccurred())
			} else {
				g.Expect(result.err).To(HaveOccurred(), "it must not look complete")
			}
			g.Expect(resumes()).To(HaveLen(1))
		})
	}
}

// TestFirstResponsesThatAreNoStream checks responses on a resumable route that are
// complete in themselves: they are forwarded unchanged and not repeated.
func TestFirstResponsesThatAreNoStream(t *testing.T) {
	cases := []struct {
		name   string
		bytes  string
		status int
		want   string
	}{
		{"a body in JSON", whole("200 OK", "Content-Type: application/json\r\n", `{"text":"all"}`), http.StatusOK, `{"text":"all"}`},
		{"an error that claims to be a stream", whole("500 Internal Server Error", eventStream, events(1, 1)+"id: 2"), http.StatusInternalServerError, events(1, 1) + "id: 2"},
		{"an empty stream", whole("200 OK", eventStream, ""), http.StatusOK, ""},
		{"no content", "HTTP/1.1 204 No Content\r\nId: call-1\r\nStamp: s\r\n\r\n", http.StatusNoContent, ""},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			fixture, resumes := runsFixture(t, true, 2, []run{{bytes: each.bytes}})
			result := fixture.call(http.MethodPost, "/later/1", "prompt", map[string]string{"Model": "notes"})
			g.Expect(result.err).NotTo(HaveOccurred())
			g.Expect(result.status).To(Equal(each.status))
			g.Expect(result.body).To(Equal(each.want))
			g.Expect(resumes()).To(HaveLen(1))
		})
	}
}

// TestContinuedStreamKeepsItsHeader checks that the caller gets the header of the first
// run and nothing of the header of the second.
func TestContinuedStreamKeepsItsHeader(t *testing.T) {
	g := NewWithT(t)
	first := strings.Replace(chunked(eventStream+"Version: 1\r\n", events(1, 2)), "Stamp: s\r\n", "Stamp: first\r\n", 1)
	second := strings.Replace(whole("200 OK", eventStream+"Version: 2\r\nMore: x\r\nKeep-Alive: timeout=9\r\n", events(3, 4)), "Stamp: s\r\n", "Stamp: second\r\n", 1)
	fixture, _ := runsFixture(t, true, 2, []run{{bytes: first}, {bytes: second}})
	result := fixture.call(http.MethodPost, "/later/1", "prompt", map[string]string{"Model": "notes"})
	g.Expect(result.err).NotTo(HaveOccurred())
	g.Expect(result.body).To(Equal(events(1, 4)))
	g.Expect(result.header.Values("Stamp")).To(Equal([]string{"first"}))
	g.Expect(result.header.Values("Version")).To(Equal([]string{"1"}))
	g.Expect(result.header).NotTo(HaveKey("More"))
}

// TestResponsesBehindAStream checks that bytes behind a complete stream on its connection
// reach neither its caller nor the next one.
func TestResponsesBehindAStream(t *testing.T) {
	extra := whole("500 Internal Server Error", "", "failed") + whole("200 OK", eventStream, events(1, 4))
	for _, resumable := range []bool{false, true} {
		t.Run(fmt.Sprintf("resumable %t", resumable), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			runs := []run{
				{bytes: chunked(eventStream, events(1, 2)) + lastChunk + extra, again: true},
				{bytes: whole("200 OK", eventStream, events(1, 3)) + extra, again: true},
				{bytes: chunked(eventStream, events(1, 1)) + lastChunk, again: true},
			}
			fixture, _ := runsFixture(t, resumable, 2, runs)
			for _, want := range []string{events(1, 2), events(1, 3), events(1, 1)} {
				result := fixture.call(http.MethodPost, "/later/1", "prompt", map[string]string{"Model": "notes"})
				g.Expect(result.err).NotTo(HaveOccurred())
				g.Expect(result.body).To(Equal(want))
			}
		})
	}
}

// TestLongEventsAreForwarded checks that an event that is too long to be held back is
// forwarded, after which the stream isn't resumed.
func TestLongEventsAreForwarded(t *testing.T) {
	long := "id: 1\ndata: " + strings.Repeat("x", 3<<20)
	cases := []struct {
		name  string
		text  string
		whole bool
	}{
		{name: "a whole event", text: long + "\n\n", whole: true},
		{name: "a break within it", text: long},
		{name: "a break after it", text: long + "\n\nid: 2\nda"},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			first := chunked(eventStream, each.text)
			if each.whole {
				first += lastChunk
			}
			fixture, resumes := runsFixture(t, true, 2, []run{{bytes: first}, {bytes: chunked(eventStream, events(2, 2)) + lastChunk}})
			result := fixture.call(http.MethodPost, "/later/1", "prompt", map[string]string{"Model": "notes"})
			g.Expect(strings.HasPrefix(each.text, result.body)).To(BeTrue(), "%d bytes", len(result.body))
			if each.whole {
				g.Expect(result.err).NotTo(HaveOccurred())
				g.Expect(result.body).To(HaveLen(len(each.text)))
			} else {
				g.Expect(result.err).To(HaveOccurred(), "it must not look complete")
			}
			g.Expect(resumes()).To(HaveLen(1))
		})
	}
}
