package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/basilkeel/basilkeel/trial"
)

// errUnexpectedAnswer reports that at least one response did not match its step.
var errUnexpectedAnswer = errors.New("an answer was not what it should be")

// Config configures a [Demo].
type Config struct {
	// Cluster is started and stopped by the demo.
	Cluster *trial.Cluster
	// Output receives a summary of each request and its response.
	Output io.Writer
	// KeepRunning keeps the fleet running after the requests, until the context
	// ends.
	KeepRunning bool
}

// Demo starts a fleet and sends it one request of each kind.
type Demo struct {
	config Config
	client *http.Client
}

// New returns a demo.
func New(config Config) *Demo {
	return &Demo{config: config, client: &http.Client{}}
}

// Run starts the fleet, sends the requests and stops the fleet before it returns.
// It returns an error if a response does not match its step.
func (demo *Demo) Run(ctx context.Context) error {
	defer demo.config.Cluster.Stop()
	if err := demo.config.Cluster.Start(ctx); err != nil {
		return err
	}
	failed := false
	earlier := make(map[string]answer)
	for number, step := range steps() {
		entries := demo.config.Cluster.Entries()
		answer, err := demo.send(ctx, entries[number%len(entries)].URL, step)
		if err != nil {
			return merry.Prependf(err, "%s", step.title)
		}
		mismatch := step.mismatch(answer, earlier)
		failed = failed || mismatch != ""
		demo.printResponse(step, answer, mismatch)
		earlier[step.title] = answer
	}
	if failed {
		return errUnexpectedAnswer
	}
	if demo.config.KeepRunning {
		demo.keepRunning(ctx)
	}
	return nil
}

func (demo *Demo) send(ctx context.Context, url string, step step) (answer, error) {
	request, err := http.NewRequestWithContext(ctx, step.method, url+step.path, strings.NewReader(step.body))
	if err != nil {
		return answer{}, err
	}
	if step.header != nil {
		request.Header = step.header
	}
	started := time.Now()
	response, err := demo.client.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	firstByte := time.Since(started)
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(body), firstByte: firstByte, total: time.Since(started)}, err
}

func (demo *Demo) printResponse(step step, answer answer, mismatch string) {
	fmt.Fprintf(demo.config.Output, "--- %s\n%s %s\nstatus %d, first byte after %v, whole after %v\n%s\n",
		step.title, step.method, step.path, answer.status,
		answer.firstByte.Round(time.Microsecond), answer.total.Round(time.Microsecond), strings.TrimSpace(answer.body))
	if mismatch != "" {
		fmt.Fprintf(demo.config.Output, "WRONG: %s\n", mismatch)
	}
}

func (demo *Demo) keepRunning(ctx context.Context) {
	for _, entry := range demo.config.Cluster.Entries() {
		fmt.Fprintf(demo.config.Output, "entry=%s\nadmin=%s\n", entry.URL, entry.OperatorURL)
	}
	fmt.Fprintf(demo.config.Output, "key=%s\n", trial.Secret)
	<-ctx.Done()
}
