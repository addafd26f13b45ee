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

// errWrong reports that an answer was not what it should be.
var errWrong = errors.New("an answer was not what it should be")

// Config carries what a [Demo] is built from.
type Config struct {
	// Cluster is started and stopped by the demo.
	Cluster *trial.Cluster
	// Output takes what the callers saw.
	Output io.Writer
	// KeepRunning keeps the fleet running until the context ends.
	KeepRunning bool
}

// Demo is the first run of the system.
type Demo struct {
	config Config
	client *http.Client
}

// New returns a demo.
func New(config Config) *Demo {
	return &Demo{config: config, client: &http.Client{}}
}

// Run starts the fleet, sends the requests and ends all that it started. It
// returns an error if an answer is not what it should be.
func (demo *Demo) Run(ctx context.Context) error {
	defer demo.config.Cluster.Stop()
	if err := demo.config.Cluster.Start(ctx); err != nil {
		return err
	}
	wrong := false
	earlier := make(map[string]answer)
	for number, step := range steps() {
		entries := demo.config.Cluster.Entries()
		answer, err := demo.send(ctx, entries[number%len(entries)].URL, step)
		if err != nil {
			return merry.Prependf(err, "%s", step.title)
		}
		fault := step.fault(answer, earlier)
		wrong = wrong || fault != ""
		demo.tell(step, answer, fault)
		earlier[step.title] = answer
	}
	if wrong {
		return errWrong
	}
	if demo.config.KeepRunning {
		demo.stay(ctx)
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
	first := time.Since(started)
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(body), first: first, whole: time.Since(started)}, err
}

func (demo *Demo) tell(step step, answer answer, fault string) {
	fmt.Fprintf(demo.config.Output, "--- %s\n%s %s\nstatus %d, first byte after %v, whole after %v\n%s\n",
		step.title, step.method, step.path, answer.status,
		answer.first.Round(time.Microsecond), answer.whole.Round(time.Microsecond), strings.TrimSpace(answer.body))
	if fault != "" {
		fmt.Fprintf(demo.config.Output, "WRONG: %s\n", fault)
	}
}

func (demo *Demo) stay(ctx context.Context) {
	for _, entry := range demo.config.Cluster.Entries() {
		fmt.Fprintf(demo.config.Output, "entry=%s\nadmin=%s\n", entry.URL, entry.OperatorURL)
	}
	fmt.Fprintf(demo.config.Output, "key=%s\n", trial.Secret)
	<-ctx.Done()
}
