package trial_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/basilkeel/basilkeel/trial"
)

// BenchmarkPath measures calls on a plain service, sent directly and through entry
// and agent, in one run. The difference is the overhead of the two processes.
//
//	go test ./trial -run '^$' -bench Path -benchtime 20000x
func BenchmarkPath(b *testing.B) {
	cluster := benchCluster(b, trial.Config{
		Entries: 1, PlainServices: 1, AgentArguments: []string{"--slots", "2000"},
	})
	ways := []struct {
		name string
		url  string
	}{
		{"direct", cluster.Agents()[0].ServerURL + "/stock"},
		{"through", cluster.Entries()[0].URL + servicePath + "/stock"},
	}
	for _, callers := range []int{1, 100, 1000} {
		for _, way := range ways {
			b.Run(fmt.Sprintf("callers=%d/%s", callers, way.name), func(b *testing.B) {
				entry, agent := allocatedBytes(b, cluster.Entries()[0].OperatorURL), allocatedBytes(b, cluster.Agents()[0].OperatorURL)
				benchCalls(b, callers, way.url)
				entry = allocatedBytes(b, cluster.Entries()[0].OperatorURL) - entry
				agent = allocatedBytes(b, cluster.Agents()[0].OperatorURL) - agent
				b.ReportMetric(entry/float64(b.N), "entry-B/call")
				b.ReportMetric(agent/float64(b.N), "agent-B/call")
			})
		}
	}
}

func benchCluster(b *testing.B, config trial.Config) *trial.Cluster {
	b.Helper()
	directory := b.TempDir()
	output, err := exec.Command("go", "build", "-o", directory+"/", "../cmd/...").CombinedOutput()
	if err != nil {
		b.Fatalf("build: %v: %s", err, output)
	}
	config.Basilkeel = filepath.Join(directory, "basilkeel")
	config.Standin = filepath.Join(directory, "standin")
	config.Directory = directory
	cluster := trial.NewCluster(config)
	b.Cleanup(cluster.Stop)
	if err := cluster.Start(context.Background()); err != nil {
		b.Fatal(err)
	}
	return cluster
}

func benchCalls(b *testing.B, callers int, url string) {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers, MaxConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var group sync.WaitGroup
	turns := make(chan struct{})
	b.ResetTimer()
	for range callers {
		group.Go(func() {
			for range turns {
				took, err := benchCall(client, url)
				mu.Lock()
				if err != nil {
					b.Error(err)
				} else if err := histogram.RecordValue(took.Microseconds()); err != nil {
					b.Error(err)
				}
				mu.Unlock()
			}
		})
	}
	for range b.N {
		turns <- struct{}{}
	}
	close(turns)
	group.Wait()
	b.StopTimer()
	for _, quantile := range []float64{50, 95, 99} {
		b.ReportMetric(float64(histogram.ValueAtQuantile(quantile)), fmt.Sprintf("p%.0f-us", quantile))
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}

// allocatedBytes returns how many bytes a process has allocated since its start.
func allocatedBytes(b *testing.B, operatorURL string) float64 {
	b.Helper()
	return processGauge(b, operatorURL, "process.allocatedBytes")
}

// processGauge reads a gauge of a process.
func processGauge(b *testing.B, operatorURL, name string) float64 {
	b.Helper()
	response, err := http.Get(operatorURL + "/metrics")
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	var figures map[string]map[string]any
	if err := json.NewDecoder(response.Body).Decode(&figures); err != nil {
		b.Fatal(err)
	}
	value, _ := figures[name]["value"].(float64)
	return value
}

func benchCall(client *http.Client, url string) (time.Duration, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, strings.NewReader(""))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+trial.Secret)
	started := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %s", response.Status)
	}
	return time.Since(started), nil
}
