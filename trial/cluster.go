package trial

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/basilkeel/basilkeel/certs"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/plat"
)

const (
	pollPeriod   = 20 * time.Millisecond
	startTimeout = 60 * time.Second
	callTimeout  = 5 * time.Second
	firstSerial  = 2
)

// Cluster is a fleet of separate processes.
type Cluster struct {
	config          Config
	client          *http.Client
	keyFile         string
	ticketFile      string
	platformAddress string
	controlAddress  string
	entries         []*Entry
	agents          []*Agent
	processes       []*Process
	files           certs.FileSet
}

// Entry is one entry of a cluster.
type Entry struct {
	*Process

	// URL is the URL for callers, OperatorURL the one for operators.
	URL         string
	OperatorURL string
}

// Agent is one agent of a cluster with the backend server beside it.
type Agent struct {
	*Process

	// Server is the process of the backend server.
	Server *Process
	// ServerURL is the URL of the backend server.
	ServerURL string
	// OperatorURL is the URL of the agent's operator interface.
	OperatorURL string
	// Instance is the agent's entry in the platform's list.
	Instance plat.Instance
}

// NewCluster returns a cluster without starting it.
func NewCluster(config Config) *Cluster {
	return &Cluster{config: config, client: &http.Client{Timeout: callTimeout}}
}

// Client returns an HTTP client that trusts the cluster's certificates.
func (cluster *Cluster) Client() *http.Client { return cluster.client }

// Entries returns the entries.
func (cluster *Cluster) Entries() []*Entry { return cluster.entries }

// Agents returns the agents, those of model engines first.
func (cluster *Cluster) Agents() []*Agent { return cluster.agents }

// ControlURL returns the URL of the stand-in platform's control interface, which
// sets faults and the instance list.
func (cluster *Cluster) ControlURL() string { return "http://" + cluster.controlAddress }

// Start starts every process and returns once all are ready and every entry
// serves the model and the plain service.
func (cluster *Cluster) Start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	steps := []func(context.Context) error{
		cluster.issueCertificates,
		cluster.startPlatform,
		cluster.startEngines,
		cluster.startPlainServices,
		cluster.awaitAgents,
		cluster.startEntries,
		cluster.awaitServing,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Stop kills every process that the cluster started.
func (cluster *Cluster) Stop() {
	var stopping sync.WaitGroup
	for _, process := range cluster.processes {
		stopping.Go(func() {
			process.Thaw()
			process.Kill()
		})
	}
	stopping.Wait()
	cluster.client.CloseIdleConnections()
}

// PutInstance adds an instance to the platform's list or replaces it there.
func (cluster *Cluster) PutInstance(ctx context.Context, instance plat.Instance) error {
	return cluster.Post(ctx, cluster.ControlURL()+"/list/instances", instance)
}

// RemoveInstance removes an instance from the platform's list.
func (cluster *Cluster) RemoveInstance(ctx context.Context, name string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, cluster.ControlURL()+"/list/instances/"+name, http.NoBody)
	if err != nil {
		return err
	}
	return cluster.do(request)
}

// Post sends body as JSON and returns an error unless the request succeeds.
func (cluster *Cluster) Post(ctx context.Context, url string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	return cluster.do(request)
}

func (cluster *Cluster) do(request *http.Request) error {
	response, err := cluster.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return merry.Errorf("%s %s: %s", request.Method, request.URL, response.Status)
	}
	return nil
}

// issueCertificates creates the certificates of the cluster if it uses TLS.
func (cluster *Cluster) issueCertificates(context.Context) error {
	if !cluster.config.TLS {
		return nil
	}
	authority, err := NewAuthority()
	if err != nil {
		return err
	}
	if cluster.files, err = authority.Issue(cluster.config.Directory, firstSerial); err != nil {
		return err
	}
	cluster.client.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: authority.Pool(), MinVersion: tls.VersionTLS12}}
	return nil
}

// url returns the URL of an address of an entry or agent.
func (cluster *Cluster) url(address string) string {
	if cluster.config.TLS {
		return "https://" + address
	}
	return "http://" + address
}

func (cluster *Cluster) startPlatform(ctx context.Context) error {
	var err error
	if cluster.platformAddress, err = freeAddress(ctx); err != nil {
		return err
	}
	if cluster.controlAddress, err = freeAddress(ctx); err != nil {
		return err
	}
	if _, err = cluster.spawn("platform", cluster.config.Standin, "platform", "--key-value", cluster.platformAddress, "--control", cluster.controlAddress); err != nil {
		return err
	}
	if err = cluster.awaitSuccess(ctx, cluster.ControlURL()+"/list/instances"); err != nil {
		return err
	}
	return cluster.seedConfiguration(ctx)
}

func (cluster *Cluster) seedConfiguration(ctx context.Context) error {
	secret := []byte(keySecret)
	cluster.keyFile = filepath.Join(cluster.config.Directory, "key-secret")
	if err := os.WriteFile(cluster.keyFile, secret, 0o600); err != nil {
		return err
	}
	cluster.ticketFile = filepath.Join(cluster.config.Directory, "ticket-secrets")
	if err := os.WriteFile(cluster.ticketFile, []byte("a secret that signs tickets\n"), 0o600); err != nil {
		return err
	}
	file := filepath.Join(cluster.config.Directory, "seed.json")
	if err := os.WriteFile(file, config.EncodeChange(seedChange(secret)), 0o600); err != nil {
		return err
	}
	command := exec.CommandContext(ctx, cluster.config.Basilkeel, "seed", "--platform", cluster.platformAddress, "--file", file)
	output, err := command.CombinedOutput()
	if err != nil {
		return merry.Errorf("seed: %v: %s", err, output)
	}
	return nil
}

func (cluster *Cluster) spawn(name, program string, arguments ...string) (*Process, error) {
	process := &Process{
		name: name, program: program, arguments: arguments,
		logPath: filepath.Join(cluster.config.Directory, name+".log"),
	}
	cluster.processes = append(cluster.processes, process)
	return process, process.Start()
}

// awaitSuccess returns once a GET of url succeeds.
func (cluster *Cluster) awaitSuccess(ctx context.Context, url string) error {
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
		if err != nil {
			return err
		}
		if cluster.do(request) == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return merry.Errorf("%s did not become ready: %v", url, ctx.Err())
		case <-time.After(pollPeriod):
		}
	}
}

// failureDomain returns the failure domain of the instance with the given number.
func failureDomain(number int) string { return Domains()[number%len(Domains())] }

func numberedName(kind string, number int) string { return fmt.Sprintf("%s-%d", kind, number) }
