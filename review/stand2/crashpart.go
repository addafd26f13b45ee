//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// crashPart is the part that crashes runners.
	crashPart = "77bd3f06"
	// batchGap is the time between two requests of a batch.
	batchGap = 100 * time.Millisecond
	// firstBad is when the first bad request is sent: two seconds after the third of batches that come each 12 s.
	firstBad = 26 * time.Second
	// contact is contactMs on the sheet.
	contact   = 3 * time.Second
	lmTimeout = 12 * time.Second
	// promptTokens is the size of each prompt. Its parts add up to it.
	promptTokens = 6800
)

// attempt is a client attempt of a sound request.
type attempt struct {
	at     time.Time
	first  bool
	begun  bool
	status int
}

// crashingPart plays requests with a part that crashes runners, one each 2.2 s, whose other part is that of a job's sound
// requests.
func crashingPart(fleet *fleet, trouble bool) bool {
	return playCrashes(fleet, trouble, crashPlay{common: "5c1e07a2:800,", badPeriod: 2200 * time.Millisecond, batchPeriod: 12 * time.Second, batchSize: 10, runners: 8})
}

// crashingPartAfterTwo plays requests with a part that crashes runners, one a second, whose two other parts are those of a job's
// sound requests.
func crashingPartAfterTwo(fleet *fleet, trouble bool) bool {
	return playCrashes(fleet, trouble, crashPlay{common: "5c1e07a2:800,91bd3f06:410,", badPeriod: time.Second, batchPeriod: 12 * time.Second, batchSize: 10, runners: 8})
}

// crashingPartAfterMany plays requests with a part that crashes runners, four a second, as the 66th of their parts. Sound requests
// have the 65 before it.
func crashingPartAfterMany(fleet *fleet, trouble bool) bool {
	common := ""
	for number := range 65 {
		common += fmt.Sprintf("%x:12,", 0x5c1e0700+number)
	}
	return playCrashes(fleet, trouble, crashPlay{common: common, badPeriod: 250 * time.Millisecond, batchPeriod: 500 * time.Millisecond, batchSize: 1, runners: 8})
}

// crashPlay is what the clients send.
type crashPlay struct {
	// common are the parts that all requests begin with.
	common string
	// badPeriod is the time between two requests with the part that crashes runners.
	badPeriod time.Duration
	// batchPeriod is the time between two batches of sound requests, batchSize the number of requests of one.
	batchPeriod time.Duration
	batchSize   int
	// runners is the number of runners, all of which hold the model.
	runners int
}

// playCrashes sends requests with a part that crashes runners between the batches of sound ones that have the same common
// parts, and checks whether the sound ones go on.
func playCrashes(fleet *fleet, trouble bool, play crashPlay) bool {
	fleet.configure(
		[]map[string]any{{
			"name": "r-lm", "host": host, "pathPrefix": "/lm/", "kind": "streaming", "service": "lm", "timeoutMs": lmTimeout.Milliseconds(), "targetLatencyMs": 1200,
			"gapAimMs": 250, "priority": 0, "maxAttempts": 1, "sticky": true, "resumable": false, "public": false,
		}},
		[]map[string]any{{
			"name": "lm", "healthPath": "/healthz", "maxConns": 300, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 32, "kvCapacity": 150000, "weightsMb": 83000.0, "adapterSlots": 8, "loadsPerS": 2.1, "models": []map[string]any{
				{"name": "m0", "weightsMb": 34300.0, "loadS": loadTime.Seconds(), "adapters": 0, "adapterMb": 40.0},
			}},
		}},
	)
	var mutex sync.Mutex
	attempts, crashes := map[string]*attempt{}, []time.Time{}
	begins := func(engine *engine, request *http.Request) (int, bool) {
		id, bad := request.Header.Get("X-Attempt-Id"), strings.Contains(request.Header.Get("X-Prompt-Prefix"), crashPart)
		mutex.Lock()
		defer mutex.Unlock()
		if bad {
			crashes = append(crashes, time.Now())
			fleet.record.line("runner %s crashes as it begins to answer %s: crash %d", engine.name, id, len(crashes))
			return 0, true
		}
		fleet.record.line("runner %s begins to answer %s", engine.name, id)
		if attempts[id] != nil {
			attempts[id].begun = true
		}
		return 10, false
	}
	for number := range play.runners {
		fleet.serveEngine(fmt.Sprintf("%c", 'a'+number), []string{"m0"}, begins)
	}
	entries := []*entry{fleet.start("edge-a-1", 284), fleet.start("edge-a-2", 284), fleet.start("edge-a-3", 284)}
	for _, entry := range entries {
		entry.awaitReady()
	}
	// Traffic starts ten seconds after the machines do.
	time.Sleep(10 * time.Second)

	var clients sync.WaitGroup
	number := 0
	// send sends a request whose prompt has the given parts and one of its own, and repeats it once if it is told when.
	send := func(prefix string, count bool) {
		number++
		id, entry := fmt.Sprintf("%015x", 0xabc0000+number), entries[number%len(entries)]
		own := fmt.Sprintf("%x:%d", 0xe440000+number*16, promptTokens-tokens(prefix))
		clients.Go(func() {
			began := time.Now()
			for try := 1; try <= 2; try++ {
				tried := fmt.Sprintf("%s%d", id, try)
				asked := &attempt{at: time.Now(), first: try == 1}
				mutex.Lock()
				if count {
					attempts[tried] = asked
				}
				fleet.record.line("%s is sent to %s, parts %.60s and one of its own", tried, entry.name, prefix)
				mutex.Unlock()
				status, retryAfter, reason := askStream(entry.front, tried, prefix+own, lmTimeout-time.Since(began))
				mutex.Lock()
				asked.status = status
				fleet.record.line("%s gets status %d from %s %s", tried, status, entry.name, reason)
				mutex.Unlock()
				if status != http.StatusServiceUnavailable || retryAfter <= 0 || retryAfter > (lmTimeout-time.Since(began))/3 {
					return
				}
				time.Sleep(retryAfter)
			}
		})
	}
	began := time.Now()
	fleet.record.line("traffic starts")
	const end = firstBad + 60*time.Second
	nextBatch, nextBad := time.Duration(0), firstBad
	for passed := time.Duration(0); passed < end; passed = time.Since(began) {
		if passed >= nextBatch {
			fleet.record.line("a batch of %d sound requests", play.batchSize)
			for range play.batchSize {
				send(play.common, true)
				time.Sleep(batchGap)
			}
			nextBatch += play.batchPeriod
			continue
		}
		if passed >= nextBad {
			if trouble {
				send(play.common+crashPart+":410,", false)
			}
			nextBad += play.badPeriod
			continue
		}
		time.Sleep(10 * time.Millisecond)
	}
	clients.Wait()

	mutex.Lock()
	defer mutex.Unlock()
	last := began.Add(firstBad + 4*play.badPeriod)
	if len(crashes) > 0 {
		last = crashes[min(len(crashes), 5)-1]
	}
	type tally struct{ sent, begun int }
	var before, after tally
	for _, asked := range attempts {
		if !asked.first {
			continue
		}
		period := &tally{}
		switch {
		case asked.at.Before(began.Add(firstBad)):
			period = &before
		case asked.at.After(last.Add(2 * contact)):
			period = &after
		}
		period.sent++
		if asked.begun {
			period.begun++
		}
	}
	fleet.record.line("%d crashes; before the first bad request %d of %d sound requests begin at the first attempt, from %v after the last crash %d of %d",
		len(crashes), before.begun, before.sent, 2*contact, after.begun, after.sent)
	if before.sent < 20 || after.sent < 20 || before.begun < before.sent/2 {
		cannotRun("too few sound requests")
	}
	return float64(after.begun)/float64(after.sent) < float64(before.begun)/float64(before.sent)/2
}

// tokens adds up the tokens of a prompt's parts.
func tokens(prefix string) int {
	sum := 0
	for part := range strings.SplitSeq(strings.TrimSuffix(prefix, ","), ",") {
		_, size, _ := strings.Cut(part, ":")
		number, err := strconv.Atoi(size)
		if err != nil {
			cannotRun("a part without a size: %q", part)
		}
		sum += number
	}
	return sum
}

// askStream sends a request for a stream on a connection of its own and reads the answer. The status is zero if that isn't whole.
// The reason is the body of a failure.
func askStream(address, id, prefix string, left time.Duration) (status int, retryAfter time.Duration, reason string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, 0, ""
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(left))
	fmt.Fprintf(conn, "POST /lm/draft HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Model: m0\r\nX-Token-Count: %d,60\r\nX-Prompt-Prefix: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		host, id, promptTokens, prefix, left.Milliseconds(), key, len(id), id)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0, ""
	}
	defer response.Body.Close()
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, 0, ""
	}
	if response.StatusCode >= http.StatusBadRequest {
		reason = string(body)
	}
	return response.StatusCode, time.Duration(seconds * float64(time.Second)), reason
}
