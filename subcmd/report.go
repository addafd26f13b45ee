package subcmd

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"github.com/basilkeel/basilkeel/burn"
	"github.com/basilkeel/basilkeel/node"
	"github.com/basilkeel/basilkeel/setup"
	"github.com/basilkeel/basilkeel/trunk"
)

// reportTimeout bounds a request to one entry.
const reportTimeout = 10 * time.Second

// Output formats of a report.
const (
	formText = "text"
	formJSON = "json"
	formHTML = "html"
)

// reportCommand prints a report on usage or on missed objectives, merged from the
// counts of all entries given.
type reportCommand struct {
	usage     bool
	entries   []string
	form      string
	authority string
}

func (command *reportCommand) name() string {
	if command.usage {
		return "usage"
	}
	return "burn"
}

func (command *reportCommand) summary() string {
	if command.usage {
		return "report the tokens that each client account was charged"
	}
	return "report how fast each client account's service level is missed"
}

func (command *reportCommand) help() string {
	if command.usage {
		return `Usage prints the requests and tokens of each client account and kind of request
over several windows, summed over the entries given.`
	}
	return `Burn prints, for each client account and kind of request over several windows, the
share of requests that missed their objective relative to the share that may miss
it, what they were missed by, and which alert rules are broken; the fastest burn
comes first. Entries that cannot be reached are named. The counts of an entry begin
at its start.`
}

func (command *reportCommand) flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name: "entry", Usage: "operators' URL of an entry; repeat it for each entry",
			Sources: cli.EnvVars(setup.Environment("entries")), Destination: &command.entries, Required: true,
		},
		&cli.StringFlag{Name: "form", Value: formText, Usage: "text, json or html", Destination: &command.form},
		&cli.StringFlag{
			Name: "authority", Usage: "PEM file of the authority that signs the entries' certificates",
			Sources: cli.EnvVars(setup.Environment("operator-ca")), Destination: &command.authority,
		},
	}
}

func (command *reportCommand) run(ctx context.Context, _ []string) error {
	client, err := operatorClient(command.authority)
	if err != nil {
		return err
	}
	collected := burn.ReportConfig{}
	for _, url := range command.entries {
		rows, err := fetchRows(ctx, client, url)
		if err != nil {
			collected.Unreached = append(collected.Unreached, url)
			continue
		}
		collected.Entries = append(collected.Entries, rows)
	}
	if len(collected.Entries) == 0 {
		return merry.New("no entry can be reached")
	}
	return command.write(burn.NewReport(collected), os.Stdout)
}

func (command *reportCommand) write(report *burn.Report, output io.Writer) error {
	switch command.form {
	case formText:
		if command.usage {
			return report.WriteUsage(output)
		}
		return report.WriteText(output)
	case formJSON:
		encoded, err := burn.EncodeRows(report.Rows())
		if err != nil {
			return err
		}
		return json.NewEncoder(output).Encode(json.RawMessage(encoded))
	case formHTML:
		return report.WriteHTML(output, time.Now())
	default:
		return &setup.ValidationError{Faults: []setup.Fault{{Flag: "form", Problem: "is none of text, json, html"}}}
	}
}

// fetchRows returns the counts of the entry at url.
func fetchRows(ctx context.Context, client *http.Client, url string) ([]burn.Row, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+node.BurnPath, http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if err := trunk.CheckHead(response); err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, merry.Errorf("%s answered %s", url, response.Status)
	}
	encoded, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	return burn.DecodeRows(encoded)
}

// operatorClient returns a client that trusts the authority in the named file, or
// the system's authorities if no file is named.
func operatorClient(authority string) (*http.Client, error) {
	client := &http.Client{Timeout: reportTimeout}
	if authority == "" {
		return client, nil
	}
	content, err := os.ReadFile(authority)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, merry.Errorf("%s holds no certificate", authority)
	}
	client.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	return client, nil
}

// reportGroup returns the commands that print reports.
func reportGroup() *cli.Command {
	return &cli.Command{
		Name: "report", Usage: "report on the fleet",
		Commands: buildAll(&reportCommand{}, &reportCommand{usage: true}),
	}
}
