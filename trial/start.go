package trial

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/basilkeel/basilkeel/plat"
)

func (cluster *Cluster) startEngines(ctx context.Context) error {
	for number := range cluster.config.Engines {
		address, err := freeAddress(ctx)
		if err != nil {
			return err
		}
		arguments := append([]string{
			"engine", "--listen", address, "--resident", Model, "--resident", Model + "+" + Adapter,
			"--weights-url", cluster.ControlURL() + "/weights",
		}, cluster.config.EngineArguments...)
		server, err := cluster.spawn(numberedName("engine", number), cluster.config.Standin, arguments...)
		if err != nil {
			return err
		}
		url := "http://" + address
		if err := cluster.awaitSuccess(ctx, url+"/report"); err != nil {
			return err
		}
		instance := plat.Instance{BackendServer: numberedName("runner", number)}
		if err := cluster.startAgent(ctx, number, "engine-agent", instance, server, url, "--engine-url", url, "--report-lag", "500ms"); err != nil {
			return err
		}
	}
	return nil
}

func (cluster *Cluster) startPlainServices(ctx context.Context) error {
	for number := range cluster.config.PlainServices {
		address, err := freeAddress(ctx)
		if err != nil {
			return err
		}
		server, err := cluster.spawn(numberedName("plain", number), cluster.config.Standin, "plain", "--listen", address)
		if err != nil {
			return err
		}
		url := "http://" + address
		if err := cluster.awaitSuccess(ctx, url+"/counts"); err != nil {
			return err
		}
		instance := plat.Instance{Service: Service, BackendServer: numberedName("desk", number)}
		if err := cluster.startAgent(ctx, number, "plain-agent", instance, server, url, "--plain-url", url, "--service", Service); err != nil {
			return err
		}
	}
	return nil
}

func (cluster *Cluster) startAgent(ctx context.Context, number int, kind string, instance plat.Instance, server *Process, serverURL string, more ...string) error {
	listen, err := freeAddress(ctx)
	if err != nil {
		return err
	}
	operator, err := freeAddress(ctx)
	if err != nil {
		return err
	}
	instance.Name, instance.Role, instance.Address = numberedName(kind, number), "agent", listen
	instance.FailureDomain, instance.Region = failureDomain(number), Region
	arguments := append(cluster.commonArguments("agent", instance.Name, number), "--listen", listen, "--operator-listen", operator, "--server", instance.BackendServer)
	arguments = append(append(arguments, more...), cluster.config.AgentArguments...)
	process, err := cluster.spawn(instance.Name, cluster.config.Basilkeel, arguments...)
	if err != nil {
		return err
	}
	started := &Agent{Process: process, Server: server, ServerURL: serverURL, OperatorURL: cluster.url(operator), Instance: instance}
	cluster.agents = append(cluster.agents, started)
	return cluster.PutInstance(ctx, instance)
}

// awaitAgents returns once every agent is ready.
func (cluster *Cluster) awaitAgents(ctx context.Context) error {
	for _, agent := range cluster.agents {
		if err := cluster.awaitSuccess(ctx, agent.OperatorURL+"/ready"); err != nil {
			return err
		}
	}
	return nil
}

func (cluster *Cluster) startEntries(ctx context.Context) error {
	for number := range cluster.config.Entries {
		addresses := make([]string, 3)
		for i := range addresses {
			address, err := freeAddress(ctx)
			if err != nil {
				return err
			}
			addresses[i] = address
		}
		name := numberedName("entry", number)
		arguments := append(cluster.commonArguments("entry", name, number),
			"--listen", addresses[0], "--operator-listen", addresses[1], "--peer-listen", addresses[2], "--leave-delay", "500ms")
		process, err := cluster.spawn(name, cluster.config.Basilkeel, append(arguments, cluster.config.EntryArguments...)...)
		if err != nil {
			return err
		}
		started := &Entry{Process: process, URL: cluster.url(addresses[0]), OperatorURL: cluster.url(addresses[1])}
		cluster.entries = append(cluster.entries, started)
		instance := plat.Instance{Name: name, Role: "entry", Address: addresses[2], FailureDomain: failureDomain(number), Region: Region}
		if err := cluster.PutInstance(ctx, instance); err != nil {
			return err
		}
		if err := cluster.awaitSuccess(ctx, started.OperatorURL+"/ready"); err != nil {
			return err
		}
	}
	return nil
}

func (cluster *Cluster) commonArguments(role, name string, number int) []string {
	arguments := []string{
		role, "--instance", name, "--failure-domain", failureDomain(number), "--region", Region,
		"--platform", cluster.platformAddress, "--instances-url", cluster.ControlURL() + "/list/instances",
		"--ticket-secret-file", cluster.ticketFile, "--log-level", "info",
	}
	if role == "entry" {
		arguments = append(arguments, "--key-secret-file", cluster.keyFile)
	}
	// The stand-ins don't use TLS, so plaintext has to be enabled. With TLS, entries
	// and agents also have certificates.
	arguments = append(arguments, "--plaintext")
	if !cluster.config.TLS {
		return arguments
	}
	arguments = append(
		arguments,
		"--peer-cert", cluster.files.Certificate, "--peer-key", cluster.files.Key, "--peer-ca", cluster.files.Authority,
		"--operator-cert", cluster.files.Certificate, "--operator-key", cluster.files.Key,
	)
	if role == "entry" {
		arguments = append(arguments, "--caller-cert", cluster.files.Certificate, "--caller-key", cluster.files.Key)
	}
	return arguments
}

// awaitServing returns once every entry serves the model and the plain service.
func (cluster *Cluster) awaitServing(ctx context.Context) error {
	for _, each := range cluster.entries {
		for !cluster.serves(ctx, each) {
			select {
			case <-ctx.Done():
				return merry.Errorf("%s does not serve: %v", each.Name(), ctx.Err())
			case <-time.After(pollPeriod):
			}
		}
	}
	return nil
}

func (cluster *Cluster) serves(ctx context.Context, each *Entry) bool {
	body := []byte(`{"model":"` + Model + `","prompt":"ready?","max_tokens":1}`)
	if cluster.config.Engines > 0 && !cluster.succeeds(ctx, http.MethodPost, each.URL+"/v1/completions", body) {
		return false
	}
	return cluster.config.PlainServices == 0 || cluster.succeeds(ctx, http.MethodGet, each.URL+"/svc/"+Service+"/tides", nil)
}

func (cluster *Cluster) succeeds(ctx context.Context, method, url string, body []byte) bool {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+Secret)
	return cluster.do(request) == nil
}
