package trial_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/basilkeel/basilkeel/trial"
)

const (
	// benchTokens is the length of a stream in these measurements.
	benchTokens = 50
	// benchStep is the time between two tokens of the stand-in engine.
	benchStep = 40 * time.Millisecond
)

// BenchmarkStream reads concurrent streams of fifty tokens, one each 40 ms, and
// measures the time to the first token and between tokens, directly and through
// entry and agent, in one run.
//
//	go test ./trial -run '^$' -bench Stream -benchtime 1x
//
// An agent attributes streams that it did not start to a previous agent process
// and waits until they end, so 'through' is refused for a while after 'direct'.
// Run one of them at a time, such as -bench 'Stream/streams=100$/through'.
func BenchmarkStream(b *testing.B) {
	cluster := benchCluster(b, trial.Config{
		Entries: 1, Engines: 1,
		AgentArguments:  []string{"--slots", "2000"},
		EngineArguments: []string{"--step", benchStep.String(), "--max-sequences", "2000", "--memory-bytes", "1000000000000"},
	})
	ways := []struct {
		name string
		url  string
	}{
		{"direct", cluster.Agents()[0].ServerURL},
		{"through", cluster.Entries()[0].URL},
	}
	for _, streams := range []int{1, 100, 1000} {
		for _, way := range ways {
			b.Run(fmt.Sprintf("streams=%d/%s", streams, way.name), func(b *testing.B) {
				idle := cluster.Entries()[0].Process
				before, err := idle.Usage()
				if err != nil {
					b.Fatal(err)
				}
				var peak int64
				stop := watchMemory(idle, &peak)
				for range b.N {
					benchStreams(b, streams, way.url)
				}
				stop()
				b.ReportMetric(float64(peak-before.ResidentBytes)/1000/float64(streams), "entry-KB/stream")
			})
		}
	}
}

// watchMemory records the highest resident memory of a process in peak until the
// returned function is called.
func watchMemory(process *trial.Process, peak *int64) func() {
	done := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() {
		for {
			if usage, err := process.Usage(); err == nil {
				*peak = max(*peak, usage.ResidentBytes)
			}
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	})
	return func() {
		close(done)
		watching.Wait()
	}
}

// streamTimes collects the latencies of the streams of one measurement.
type streamTimes struct {
	mu    sync.Mutex
	first *hdrhistogram.Histogram
	gaps  *hdrhistogram.Histogram
}

func (streamTimes *streamTimes) record(histogram *hdrhistogram.Histogram, took time.Duration) {
	streamTimes.mu.Lock()
	defer streamTimes.mu.Unlock()
	// No value exceeds the histogram's bound of a minute.
	_ = histogram.RecordValue(took.Microseconds())
}

func benchStreams(b *testing.B, streams int, url string) {
	b.Helper()
	bound := int64(time.Minute / time.Microsecond)
	times := &streamTimes{first: hdrhistogram.New(1, bound, 3), gaps: hdrhistogram.New(1, bound, 3)}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	defer client.CloseIdleConnections()
	var group sync.WaitGroup
	for number := range streams {
		group.Go(func() {
			if err := benchStream(client, url, number, times); err != nil {
				b.Error(err)
			}
		})
	}
	group.Wait()
	for _, quantile := range []float64{50, 95, 99} {
		b.ReportMetric(float64(times.first.ValueAtQuantile(quantile))/1000, fmt.Sprintf("first-p%.0f-ms", quantile))
		b.ReportMetric(float64(times.gaps.ValueAtQuantile(quantile))/1000, fmt.Sprintf("gap-p%.0f-ms", quantile))
	}
}

func benchStream(client *http.Client, url string, number int, times *streamTimes) error {
	body := fmt.Sprintf(`{"model":%q,"prompt":"stream %d","max_tokens":%d,"stream":true,"requestId":"bench-%d-%d"}`,
		trial.Model, number, benchTokens, number, time.Now().UnixNano())
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header = keyedHeader("X-Request-Kind", "batch")
	latest := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	pieces := 0
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if !strings.HasPrefix(lines.Text(), "data: {") {
			continue
		}
		now := time.Now()
		if pieces == 0 {
			times.record(times.first, now.Sub(latest))
		} else if pieces < benchTokens {
			times.record(times.gaps, now.Sub(latest))
		}
		latest = now
		pieces++
	}
	if pieces < benchTokens {
		return fmt.Errorf("%d pieces, status %s", pieces, response.Status)
	}
	return nil
}
