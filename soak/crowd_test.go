package soak_test

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"golang.org/x/sys/unix"

	"github.com/basilkeel/basilkeel/wire"
)

const (
	// crowdTime is how long a crowd presses, crowdPause the time after which one of its
	// clients opens a closed connection again.
	crowdTime  = 5 * time.Second
	crowdPause = 5 * time.Millisecond
	// crowdMegabytes is the memory of an instance beside a crowd, two thirds of what the smallest
	// instances have. poorMegabytes is that for crowds that make a process allocate little.
	crowdMegabytes = 96
	// bigCrowd is the number of clients of crowds whose connections alone use the memory.
	bigCrowd      = 4000
	poorMegabytes = 48
	// crowdDescriptors is the number of descriptors beside a crowd that holds as many as it can.
	// The platform keeps 200 of them for files.
	crowdDescriptors = 456
	// crowdInterval is the time between two readings of what the process uses.
	crowdInterval = 100 * time.Millisecond
)

// crowd is a number of clients that all send the same, over and over.
type crowd struct {
	name    string
	clients int
	port    int
	// megabytes and descriptors are what the process has; zero descriptors mean no bound.
	megabytes   int
	descriptors int
	// unsaid reports whether the settings don't tell the process how many descriptors it has.
	unsaid bool
	// head is sent first, then piece without end, and nothing is read. Without a piece the client
	// reads until its connection is closed.
	head, piece string
}

const (
	crowdHost = "Host: " + callerHost + "\r\n"
	crowdKey  = "Authorization: Bearer " + tenantKey + "\r\n"
	crowdGet  = "GET /look/crowd HTTP/1.1\r\n" + crowdHost + crowdKey
	crowdPost = "POST /look/crowd HTTP/1.1\r\n" + crowdHost + crowdKey
)

// callerCrowds are the crowds at the callers' listener.
var callerCrowds = []crowd{
	{name: "nothing", clients: bigCrowd, megabytes: poorMegabytes},
	{name: "a head over the limit in one value, unfinished", head: crowdGet + "A: " + strings.Repeat("a", 60<<10)},
	{name: "a head over the limit in many fields, unfinished", head: crowdGet + strings.Repeat("1a2b:\r\n", 60<<10/7)},
	{name: "a head inside the limit in many fields, and no body", head: crowdPost + "Content-Length: 1000\r\n" + strings.Repeat("1a2b:\r\n", 14<<10/7) + "\r\n"},
	{name: "a head inside the limit in many names, and no body", head: crowdPost + "Content-Length: 1000\r\n" + manyNames(14<<10) + "\r\n"},
	{name: "empty lines without end before a request", clients: bigCrowd, megabytes: poorMegabytes, piece: strings.Repeat("\r\n", 8<<10)},
	{name: "empty lines without end after a request", head: crowdGet + "\r\n", piece: strings.Repeat("\r\n", 8<<10)},
	{name: "a request line without end", head: "GET /", piece: strings.Repeat("a", 16<<10)},
	{name: "a header line without end", head: crowdGet + "A: ", piece: strings.Repeat("a", 16<<10)},
	{name: "header lines without end", head: crowdGet, piece: strings.Repeat("1a2b:\r\n", 2<<10)},
	{name: "chunks of one byte without end", head: crowdPost + "Transfer-Encoding: chunked\r\n\r\n", piece: strings.Repeat("1\r\na\r\n", 2<<10)},
	{name: "a body far over the limit", head: crowdPost + "Content-Length: 1000000000000\r\n\r\n", piece: strings.Repeat("a", 16<<10)},
	{name: "a body far over the limit without a key", head: "POST /look/crowd HTTP/1.1\r\n" + crowdHost + "Content-Length: 1000000000000\r\n\r\n", piece: strings.Repeat("a", 16<<10)},
	{name: "pipelined requests whose answers are not read", piece: strings.Repeat(crowdGet+"\r\n", 100)},
}

// manyNames returns header lines with different names of two to three bytes and no values.
func manyNames(length int) string {
	var text strings.Builder
	for number := int64(0); text.Len() < length; number++ {
		text.WriteString("a" + strconv.FormatInt(number, 36) + ":\r\n")
	}
	return text.String()
}

// otherCrowds are the crowds at listeners that are not for callers.
var otherCrowds = []crowd{
	{name: "readiness: heads of 900 KiB, unfinished", port: readyPort, head: "GET /readyz HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("a", 900<<10)},
	{name: "readiness: heads of 900 KiB in many fields, unfinished", port: readyPort, head: "GET /readyz HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("1a2b:\r\n", 900<<10/7)},
	{name: "readiness: answers that are not read", port: readyPort, piece: strings.Repeat("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n", 100)},
	{name: "coordination: pings without end", port: firstPort, head: http2Preface, piece: strings.Repeat(http2Ping, 1000)},
	{name: "coordination: a header block without end", port: firstPort, head: http2Preface + http2Headers, piece: strings.Repeat(http2Continuation, 10)},
	{name: "coordination: calls whose messages never come", port: firstPort, head: http2Preface + openCalls(10000), piece: strings.Repeat(http2Ping, 1000)},
	{name: "coordination: messages that never end", port: firstPort, head: http2Preface + openCalls(100) + growMessages(100), piece: strings.Repeat(http2Ping, 10)},
	{name: "coordination: bytes that are no frames", megabytes: poorMegabytes, port: firstPort, piece: strings.Repeat("\r\n", 8<<10)},
}

const (
	// http2Preface begins a connection, with empty settings.
	http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + "\x00\x00\x00\x04\x00\x00\x00\x00\x00"
	http2Ping    = "\x00\x00\x08\x06\x00\x00\x00\x00\x00" + "12345678"
	// http2Headers begins a header block that http2Continuation, of 16 KiB, goes on with.
	http2Headers = "\x00\x00\x01\x01\x00\x00\x00\x00\x01" + "\x82"
)

// openCalls returns the beginnings of a number of calls.
func openCalls(count int) string {
	return writeFrames(func(framer *http2.Framer) {
		var block bytes.Buffer
		encoder := hpack.NewEncoder(&block)
		for number := range count {
			block.Reset()
			for _, field := range [][2]string{
				{":method", "POST"},
				{":scheme", "http"},
				{":path", wire.Coordination_Exchange_FullMethodName},
				{":authority", "a"},
				{"content-type", "application/grpc"},
				{"te", "trailers"},
			} {
				_ = encoder.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]})
			}
			_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(2*number + 1), BlockFragment: block.Bytes(), EndHeaders: true})
		}
	})
}

// growMessages returns parts of the messages of a number of calls, which announce 4 MB.
func growMessages(count int) string {
	return writeFrames(func(framer *http2.Framer) {
		begin := append([]byte{0, 0, 0x3f, 0xff, 0xff}, make([]byte, 8<<10)...)
		for number := range count {
			_ = framer.WriteData(uint32(2*number+1), false, begin)
		}
		for range 50 {
			for number := range count {
				_ = framer.WriteData(uint32(2*number+1), false, begin[5:])
			}
		}
	})
}

func writeFrames(write func(framer *http2.Framer)) string {
	var text bytes.Buffer
	write(http2.NewFramer(&text, nil))
	return text.String()
}

var http2Continuation = "\x00\x40\x00\x09\x00\x00\x00\x00\x01" + strings.Repeat("\x82", 16<<10)

// descriptorCrowds hold more connections than the process has descriptors.
var descriptorCrowds = []crowd{
	{name: "nothing"},
	{name: "a part of a head", head: crowdGet},
	{name: "one request", head: crowdGet + "\r\n"},
	{name: "one request with a body that never comes", head: crowdPost + "Content-Length: 1000\r\n\r\n"},
	{name: "empty lines", piece: strings.Repeat("\r\n", 8<<10)},
	{name: "nothing, and the settings don't name the limit", unsaid: true},
}

// Guards against processes that end, or exceed the memory of their instance, by what callers
// send that do not behave.
func TestCrowdOfCallers(t *testing.T) {
	for _, each := range callerCrowds {
		each.clients, each.port, each.megabytes = cmp.Or(each.clients, 1000), frontPort, cmp.Or(each.megabytes, crowdMegabytes)
		t.Run(each.name, func(t *testing.T) { newCrowdSoak(t).play(each) })
	}
}

// Guards against the same at the listeners for probes and other entries.
func TestCrowdAtOtherListeners(t *testing.T) {
	for _, each := range otherCrowds {
		each.clients, each.megabytes = 300, cmp.Or(each.megabytes, crowdMegabytes)
		t.Run(each.name, func(t *testing.T) { newCrowdSoak(t).play(each) })
	}
}

// Guards against callers that take all descriptors of a process and leave none to ordinary ones.
func TestCrowdHoldsDescriptors(t *testing.T) {
	for _, each := range descriptorCrowds {
		each.clients, each.port, each.megabytes, each.descriptors = 600, frontPort, memoryMegabytes, crowdDescriptors
		t.Run(each.name, func(t *testing.T) { newCrowdSoak(t).play(each) })
	}
}

// crowdSoak is a soak with one entry beside a crowd.
type crowdSoak struct {
	*soak
	entry *entry
}

func newCrowdSoak(t *testing.T) *crowdSoak {
	soak := newSoak(t)
	soak.modes = []string{"ordinary"}
	soak.entries = soak.entries[:1]
	answer := "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 4096\r\n\r\n" + strings.Repeat("a", 4096)
	soak.intercept = func(request *http.Request) (string, bool) { return answer, request.URL.Path == "/look/crowd" }
	return &crowdSoak{soak: soak, entry: soak.entries[0]}
}

// play has a crowd press on the entry, and checks what the entry uses meanwhile and that it
// serves ordinary callers.
func (crowdSoak *crowdSoak) play(crowd crowd) {
	t, entry := crowdSoak.t, crowdSoak.entry
	entry.megabytes = crowd.megabytes
	if !crowd.unsaid {
		entry.descriptors = crowd.descriptors
	}
	entry.start()
	if crowd.descriptors > 0 {
		limit := unix.Rlimit{Cur: uint64(crowd.descriptors), Max: uint64(crowd.descriptors)}
		if err := unix.Prlimit(entry.command.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
			t.Fatal(err)
		}
	}
	crowdSoak.expectService()
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	head, piece := []byte(crowd.head), []byte(crowd.piece)
	var clients, watch sync.WaitGroup
	watch.Go(func() { crowdSoak.watch(ctx, crowd) })
	for range crowd.clients {
		clients.Go(func() {
			for ctx.Err() == nil {
				press(ctx, entry.address(crowd.port), head, piece)
				crowdSoak.pause(crowdPause)
			}
		})
	}
	if crowd.descriptors > 0 {
		crowdSoak.pause(crowdTime / 2)
		served := false
		for ctx.Err() == nil && !served {
			served = crowdSoak.servedWithin(time.Second) && ctx.Err() == nil
		}
		if !served {
			t.Errorf("no ordinary request is served beside %d clients that send %s", crowd.clients, crowd.name)
		}
	}
	clients.Wait()
	watch.Wait()
	crowdSoak.expectService()
	entry.stop(syscall.SIGTERM)
	crowdSoak.ledger.report(t)
}

// servedWithin reports whether an ordinary request on a new connection is served in time.
func (crowdSoak *crowdSoak) servedWithin(timeout time.Duration) bool {
	conn, err := net.DialTimeout("tcp", crowdSoak.entry.address(frontPort), timeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	caller := &caller{soak: crowdSoak.soak, random: newRandom(uint64(crowdSoak.number.Add(1))), mode: "ordinary"}
	asked := caller.draw()
	asked.kind, asked.tenant, asked.method, asked.model, asked.target = kindLook, tenantName, "GET", "", "/look/beside"
	asked.body = nil
	_, _ = io.WriteString(conn, caller.format(asked, "1.0"))
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.HasPrefix(line, "HTTP/1.0 200")
}

// press sends what a client of a crowd sends on one connection, until it is closed or ctx is done.
func press(ctx context.Context, address string, head, piece []byte) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if _, err := conn.Write(head); err != nil {
		return
	}
	if len(piece) == 0 {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	for err == nil {
		_, err = conn.Write(piece)
	}
}

// watch checks what the entry uses until ctx is done.
func (crowdSoak *crowdSoak) watch(ctx context.Context, crowd crowd) {
	var most usage
	for ctx.Err() == nil {
		crowdSoak.pause(crowdInterval)
		used := crowdSoak.entry.usage()
		most.descriptors = max(most.descriptors, used.descriptors)
		if used.bytes() > most.bytes() {
			most.resident, most.unread, most.unsent = used.resident, used.unread, used.unsent
		}
	}
	text := fmt.Sprintf("%s: %d of %d MB: %d resident, %d received and not read, %d not sent; %d descriptors",
		crowd.name, most.bytes()>>20, crowd.megabytes, most.resident>>20, most.unread>>20, most.unsent>>20, most.descriptors)
	crowdSoak.t.Log(text)
	if most.bytes() > int64(crowd.megabytes)<<20 || crowd.descriptors > 0 && most.descriptors > crowd.descriptors {
		crowdSoak.t.Error(text)
	}
}

// usage is what a process uses: its resident bytes, those that the kernel holds at the process's own
// address, also on connections that it has not accepted yet, and its descriptors.
type usage struct {
	resident, unread, unsent int64
	descriptors              int
}

func (usage usage) bytes() int64 { return usage.resident + usage.unread + usage.unsent }

func (entry *entry) usage() usage {
	var used usage
	entry.mutex.Lock()
	pid := entry.command.Process.Pid
	entry.mutex.Unlock()
	if data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid)); err == nil {
		var size int64
		_, _ = fmt.Sscan(string(data), &size, &used.resident)
		used.resident *= int64(os.Getpagesize())
	}
	if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
		used.descriptors = len(open)
	}
	ip := net.ParseIP(entry.ip).To4()
	local := fmt.Appendf(nil, "%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0])
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		entry.soak.t.Error(err)
	}
	for line := range bytes.Lines(table) {
		fields := bytes.Fields(line)
		// Listeners show the length of their accept queue in these columns.
		if len(fields) < 5 || !bytes.HasPrefix(fields[1], local) || string(fields[3]) == "0A" {
			continue
		}
		unsent, unread, _ := strings.Cut(string(fields[4]), ":")
		count, _ := strconv.ParseInt(unsent, 16, 64)
		used.unsent += count
		count, _ = strconv.ParseInt(unread, 16, 64)
		used.unread += count
	}
	return used
}
