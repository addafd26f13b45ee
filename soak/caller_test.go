package soak_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	callerHost = "soak.example"
	tenantName = "hule"
	tenantKey  = "i9n73hh2b9wu3fexd9dn"
	// responseTimeout is long after the time limits of all routes.
	responseTimeout = 45 * time.Second
)

// routeKind is the kind of a route.
type routeKind string

const (
	kindLook   routeKind = "look"
	kindOrder  routeKind = "order"
	kindDraft  routeKind = "draft"
	kindResume routeKind = "resume"
	kindCold   routeKind = "cold"
	kindHome   routeKind = "home"
	kindLate   routeKind = "late"
)

var routeKinds = []routeKind{kindLook, kindOrder, kindDraft, kindResume, kindCold, kindHome, kindLate}

func (routeKind routeKind) streaming() bool {
	return routeKind == kindDraft || routeKind == kindResume || routeKind == kindLate
}

func (routeKind routeKind) repeatable() bool {
	return routeKind == kindLook || routeKind == kindResume || routeKind == kindHome
}

func (routeKind routeKind) allows(service string) bool {
	switch routeKind {
	case kindLook:
		return service == lookService || service == spareService
	case kindOrder:
		return service == orderService
	case kindCold:
		return service == coldService
	case kindHome:
		return service == homeService
	default:
		return service == engineService
	}
}

// callerModes are the behaviours of callers. The ordinary one is drawn more often.
var callerModes = []string{
	"ordinary", "ordinary", "ordinary", "lingers", "lingers", "shuts down its sending side", "resets", "gone mid-body", "HTTP/1.0", "HTTP/1.0 shuts down its sending side", "pipelines",
}

// caller is one connection of a caller.
type caller struct {
	soak   *soak
	random *random
	mode   string
	conn   *net.TCPConn
	reader *bufio.Reader
	entry  *entry
}

// call opens a connection to an entry and sends requests over it.
func (soak *soak) call(ctx context.Context, entry *entry, random *random) {
	conn, err := net.DialTimeout("tcp", entry.address(frontPort), time.Second)
	if err != nil {
		soak.ledger.count("connections refused")
		soak.pause(50 * time.Millisecond)
		return
	}
	caller := &caller{soak: soak, random: random, mode: soak.modes[random.IntN(len(soak.modes))], conn: conn.(*net.TCPConn), reader: bufio.NewReader(conn), entry: entry}
	switch caller.mode {
	case "ordinary", "lingers":
		for number := 1 + random.IntN(20); number > 0 && ctx.Err() == nil; number-- {
			asked := caller.draw()
			if !caller.write(caller.format(asked, "1.1")) || !caller.read(asked) {
				conn.Close()
				return
			}
			if random.IntN(4) == 0 {
				soak.pause(time.Duration(random.IntN(100)) * time.Millisecond)
			}
		}
		if caller.mode == "lingers" && soak.lingering.Add(1) < maxLingering {
			soak.callers.Go(func() {
				defer soak.lingering.Add(-1)
				defer conn.Close()
				stop := context.AfterFunc(ctx, func() { conn.Close() })
				defer stop()
				caller.expectNothing(time.Time{})
			})
			return
		}
		caller.expectNothing(time.Now().Add(time.Duration(random.IntN(50)) * time.Millisecond))
	default:
		caller.once()
	}
	conn.Close()
}

// maxLingering bounds the connections that are kept until the entry closes them.
const maxLingering = 200

// once sends the requests of a connection that is used once.
func (caller *caller) once() {
	random, asked := caller.random, caller.draw()
	delay := func() { caller.soak.pause(time.Duration(random.IntN(150)) * time.Millisecond) }
	switch caller.mode {
	case "shuts down its sending side", "HTTP/1.0 shuts down its sending side", "HTTP/1.0":
		version := "1.1"
		if strings.HasPrefix(caller.mode, "HTTP/1.0") {
			version = "1.0"
		}
		caller.write(caller.format(asked, version))
		if strings.Contains(caller.mode, "shuts down") {
			delay()
			_ = caller.conn.CloseWrite()
		}
		if caller.read(asked) {
			caller.expectNothing(time.Now().Add(50 * time.Millisecond))
		}
	case "resets":
		caller.write(caller.format(asked, "1.1"))
		delay()
		_ = caller.conn.SetLinger(0)
	case "gone mid-body":
		asked.method, asked.body = http.MethodPost, []byte(strings.Repeat("body", 100))
		text := caller.format(asked, "1.1")
		caller.write(text[:len(text)-10-random.IntN(300)])
		delay()
		if random.IntN(2) == 0 {
			_ = caller.conn.CloseWrite()
			caller.read(asked)
		}
	case "pipelines":
		second := caller.draw()
		caller.write(caller.format(asked, "1.1") + caller.format(second, "1.1"))
		if caller.read(asked) && caller.read(second) {
			caller.expectNothing(time.Now().Add(50 * time.Millisecond))
		}
	}
}

// draw draws a request and enters it into the ledger.
func (caller *caller) draw() *asked {
	random := caller.random
	asked := &asked{
		key:  fmt.Sprintf("q%d-%012x", caller.soak.number.Add(1), random.Uint64()>>16),
		kind: caller.soak.kinds[random.IntN(len(caller.soak.kinds))], mode: caller.mode, method: http.MethodPost,
		tenant: tenantName,
	}
	if random.IntN(8) == 0 {
		asked.tenant = confinedTenant
	}
	if caller.mode == slowMode {
		asked.kind = kindLook
	}
	asked.target = fmt.Sprintf("/%s/%s?key=%s", asked.kind, asked.key[1:4], asked.key)
	if random.IntN(30) != 0 {
		asked.id = asked.key[len(asked.key)-12:]
	}
	if asked.kind == kindLook {
		asked.method = []string{http.MethodGet, http.MethodGet, http.MethodHead, http.MethodPost}[random.IntN(4)]
	}
	if asked.method == http.MethodPost {
		asked.body = []byte(strings.Repeat("prompt ", random.IntN(50)))
		if random.IntN(20) == 0 {
			asked.body = []byte(strings.Repeat("prompt ", 5000))
		}
	}
	if asked.kind.streaming() {
		asked.model = engineModels[random.IntN(len(engineModels))]
		if random.IntN(2) == 0 {
			asked.model += fmt.Sprintf("/a%d", 1+random.IntN(6))
		}
	}
	return asked
}

// format enters a request into the ledger and returns it as it is sent.
func (caller *caller) format(asked *asked, version string) string {
	caller.soak.ledger.ask(asked)
	header := fmt.Sprintf("Host: %s\r\n%s: %s\r\nAuthorization: Bearer %s\r\nX-Deadline-Ms: %d\r\n", callerHost, keyHeader, asked.key, tenantKeys[asked.tenant], 1000+caller.random.IntN(3000))
	if asked.id != "" {
		header += "X-Attempt-Id: " + asked.id + "\r\n"
	}
	if asked.model != "" {
		header += fmt.Sprintf("X-Model: %s\r\nX-Token-Count: %d,30\r\n", asked.model, 20<<caller.random.IntN(9))
	}
	start := asked.method + " " + asked.target + " HTTP/" + version + "\r\n" + header
	switch {
	case asked.method != http.MethodPost:
		return start + "\r\n"
	case version == "1.1" && len(asked.body) > 2 && asked.mode != "gone mid-body" && caller.random.IntN(3) == 0:
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n2\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", start, asked.body[:2], len(asked.body)-2, asked.body[2:])
	default:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", start, len(asked.body), asked.body)
	}
}

func (caller *caller) write(text string) bool {
	_, err := io.WriteString(caller.conn, text)
	return err == nil
}

// read reads the response to a request and has it checked. It reports whether the
// connection can be used further.
func (caller *caller) read(asked *asked) bool {
	ledger := caller.soak.ledger
	_ = caller.conn.SetReadDeadline(time.Now().Add(responseTimeout))
	request := &http.Request{Method: asked.method}
	response, err := http.ReadResponse(caller.reader, request)
	for err == nil && response.StatusCode < http.StatusOK {
		response, err = http.ReadResponse(caller.reader, request)
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		ledger.fault("HELD", "%s [%s, %s] had no response for %v", asked.key, asked.kind, asked.mode, responseTimeout)
		return false
	case ended(err):
		ledger.checkUnanswered(asked, caller.entry.lastKill())
		return false
	case err != nil:
		ledger.fault("MIXED: no response in the protocol", "%s [%s, %s]: %v", asked.key, asked.kind, asked.mode, err)
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		ledger.fault("HELD", "%s [%s, %s] had no end of its response for %v", asked.key, asked.kind, asked.mode, responseTimeout)
	} else if err != nil && !ended(err) {
		ledger.fault("MIXED: no body in the protocol", "%s [%s, %s]: %v", asked.key, asked.kind, asked.mode, err)
	}
	ledger.check(asked, received{status: response.StatusCode, header: response.Header, body: body, complete: err == nil})
	if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
		caller.soak.pause(20 * time.Millisecond)
	}
	return err == nil && !response.Close
}

// expectNothing reads until the deadline or the end of the connection, on which no
// request waits.
func (caller *caller) expectNothing(deadline time.Time) {
	_ = caller.conn.SetReadDeadline(deadline)
	rest, _ := io.ReadAll(caller.reader)
	if len(rest) > 0 {
		caller.soak.ledger.fault("MIXED: bytes that nobody asked for", "[%s] %.200q", caller.mode, rest)
	}
}

// ended reports whether err is how a connection ends.
func ended(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.EPIPE)
}
