package relay

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestEventsDoNotDependOnReads checks that a stream is split alike however its bytes
// arrive: all blocks that are complete are forwarded, with the ID of the last event, and
// comments at the end once the stream has ended.
func TestEventsDoNotDependOnReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "line end")
		blocks := rapid.SliceOfN(rapid.SampledFrom([]string{
			"id: 1\ndata: a\n\n", "data: ü\nid:2\n\n", "data\n\n", ": id: 3\n\n", "id\ndata: x\n\n", "\n", "retry: 4\n\n", "data: id: 5\nid: 6\n\n", "id: \x00\ndata: z\n\n",
		}), 0, 8).Draw(t, "blocks")
		tail := rapid.SampledFrom([]string{"", "id: 7", "id: 7\n", "id: 7\ndata: y\n", ": bye", ": bye\n", "d"}).Draw(t, "tail")
		lastID := ""
		for _, block := range blocks {
			switch block[0] {
			case 'i', 'd':
				lastID = map[string]string{"id: 1\ndata: a\n\n": "1", "data: ü\nid:2\n\n": "2", "data: id: 5\nid: 6\n\n": "6"}[block]
			}
		}
		complete := strings.ReplaceAll(": on\n\n"+strings.Join(blocks, ""), "\n", lineEnd)
		all := complete + strings.ReplaceAll(tail, "\n", lineEnd)
		stream := &stream{format: formatEvents, wholeEvents: true}
		buffer := newEventBuffer(stream)
		forwarded := ""
		for rest := all; rest != ""; {
			size := rapid.IntRange(1, min(len(rest), 12)).Draw(t, "read")
			ready, err := buffer.add([]byte(rest[:size]))
			if err != nil {
				t.Fatalf("add of %q fails: %v", rest[:size], err)
			}
			forwarded += string(ready)
			rest = rest[size:]
		}
		if forwarded != complete {
			t.Fatalf("forwarded %q of %q, expected %q", forwarded, all, complete)
		}
		if stream.lastID != lastID {
			t.Fatalf("last ID of %q is %q, expected %q", all, stream.lastID, lastID)
		}
		midEvent := tail != "" && tail[0] != ':'
		rest, err := buffer.finish()
		if (err != nil) != midEvent {
			t.Fatalf("finish after %q returns %v", all, err)
		}
		if err == nil && forwarded+string(rest) != all {
			t.Fatalf("forwarded %q and %q of %q", forwarded, rest, all)
		}
	})
}
