package subcmd

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/node"
)

// TestWherePrintsTheReport guards against flags that do not reach the entry, and against
// parts and exclusions that are missing in the table.
func TestWherePrintsTheReport(t *testing.T) {
	g := NewWithT(t)
	report := node.WhereReport{
		Route: "draft", Service: "notes", Scheduled: true, DecidedBy: "coordinator", Unit: node.UnitMilliseconds,
		Targets: []node.WhereTarget{{Service: "notes", Weight: 3}, {Service: "desk", Weight: 1}},
		Verdict: node.WhereVerdict{Kind: node.VerdictSend, Server: "engine-1", Domain: "a", WaitMs: 12.5, FirstMs: 60, Load: 0.5, AdapterMissing: true, PermitNeeded: true},
		Candidates: []node.WhereCandidate{
			{Server: "engine-1", Total: 42.5, Parts: []node.WherePart{{Name: "wait", Value: 12.5}, {Name: "prompt", Value: 30}}, Notes: []string{"pace=1.00"}},
			{Server: "engine-2", Excluded: "entry:paused"},
		},
	}
	var asked string
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		asked = request.URL.String()
		if request.URL.Query().Get("service") == "unknown" {
			http.Error(writer, "no such thing", http.StatusBadRequest)
			return
		}
		_ = json.NewEncoder(writer).Encode(report)
	}))
	defer server.Close()
	run := func(arguments ...string) (string, error) {
		var output bytes.Buffer
		command := build(&whereCommand{output: &output})
		err := command.Run(t.Context(), append([]string{"where", "--entry", strings.TrimPrefix(server.URL, "http://")}, arguments...))
		return output.String(), err
	}
	printed, err := run("--host", "desk.example", "--path", "/draft/1", "--model", "m", "--adapter", "style", "--account", "crew", "--prompt-tokens", "10", "--output-tokens", "0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(asked).To(Equal("/where?account=crew&adapter=style&host=desk.example&model=m&outputTokens=0&path=%2Fdraft%2F1&promptTokens=10"))
	g.Expect(printed).To(Equal(`route       draft
service     notes
targets     notes=3 desk=1
scheduled   true
decided by  coordinator
verdict     send to engine-1 in a wait=12.5ms first=60.0ms load=0.50 adapterMissing permitNeeded

server    total (ms)  wait  prompt  excluded      notes
engine-1  42.5        12.5  30.0    -             pace=1.00
engine-2  -           -     -       entry:paused  -
`))
	printed, err = run("--service", "notes", "--form", "json")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(asked).To(Equal("/where?path=%2F&service=notes"))
	var decoded node.WhereReport
	g.Expect(json.Unmarshal([]byte(printed), &decoded)).To(Succeed())
	g.Expect(decoded).To(Equal(report))
	_, err = run("--service", "unknown")
	g.Expect(err).To(MatchError(ContainSubstring("no such thing")))
	var output bytes.Buffer
	_, err = run("--form", "html")
	g.Expect(ReportError(&output, err)).To(Equal(ExitSettings))
	g.Expect(output.String()).To(And(ContainSubstring("--host"), ContainSubstring("--form")))
}
