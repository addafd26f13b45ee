package subcmd

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/admin"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/ident"
	"github.com/basilkeel/basilkeel/proof"
	"github.com/basilkeel/basilkeel/quiz"
	"github.com/basilkeel/basilkeel/setup"
	"github.com/basilkeel/basilkeel/spread"
)

// fakePublisher publishes to a fleet of one instance. It is safe for concurrent use,
// since a request whose answer is lost may still run beside its repeat.
type fakePublisher struct {
	snapshot atomic.Pointer[config.Snapshot]
}

func (publisher *fakePublisher) Current() *config.Snapshot { return publisher.snapshot.Load() }

func (publisher *fakePublisher) Adopt(bundle *config.Bundle) error {
	snapshot, err := bundle.Snapshot()
	publisher.snapshot.Store(snapshot)
	return err
}

func (*fakePublisher) Publish(context.Context, config.Version) bool { return true }

func (*fakePublisher) Rollout(_ context.Context, version config.Version) spread.Rollout {
	return spread.Rollout{Version: version, Instances: 1, Live: 1}
}

// serveAdmin serves the administration API and returns its URL. The first lost
// changes take effect, but their answers are dropped.
func serveAdmin(t *testing.T, lost int) (*fakePublisher, string) {
	hasher := ident.NewHasher([]byte("pepper"))
	operator, err := admin.ParseOperator("ana:editor:" + hasher.Hash("token"))
	Expect(err).NotTo(HaveOccurred())
	timers := clock.NewService(clock.ServiceConfig{})
	publisher := &fakePublisher{}
	logger := logrus.New()
	logger.SetOutput(&bytes.Buffer{})
	server := admin.NewServer(admin.ServerConfig{
		Repository: config.NewRepository(config.RepositoryConfig{Store: proof.NewStore(), Clock: timers}),
		Publisher:  publisher, Operators: []admin.Operator{operator}, Hasher: hasher, Clock: timers, Logger: logger,
	})
	var posts atomic.Int64
	listener := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Method == http.MethodPost && posts.Add(1) <= int64(lost) {
			server.ServeHTTP(httptest.NewRecorder(), request)
			panic(http.ErrAbortHandler)
		}
		server.ServeHTTP(writer, request)
	}))
	t.Cleanup(listener.Close)
	return publisher, listener.URL
}

// TestQuizAppliesExamples applies both examples through the administration API. The
// answer to the first change is lost, so that its repeat has to be recognized.
func TestQuizAppliesExamples(t *testing.T) {
	RegisterTestingT(t)
	for _, name := range []string{"vatuloa", "fachwerk"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			publisher, url := serveAdmin(t, 1)
			file := filepath.Join(t.TempDir(), "change.json")
			run := func() string {
				var output bytes.Buffer
				command := &quizCommand{
					answers: "../examples/quiz-" + name + ".json", change: file, apply: true,
					access: quizAccess{url: url, token: "token"}, input: strings.NewReader(""), output: &output,
				}
				g.Expect(command.run(t.Context(), nil)).To(Succeed())
				return output.String()
			}
			first := run()
			answers, err := quiz.Decode(readExample(g, name))
			g.Expect(err).NotTo(HaveOccurred())
			keys := 0
			for _, account := range answers.Accounts {
				keys += len(account.Keys)
			}
			g.Expect(first).To(ContainSubstring("Version 1 is accepted, in force on 1 of 1 instances."))
			g.Expect(strings.Count(first, "shown only now: ")).To(Equal(keys))
			g.Expect(publisher.Current().Keys()).To(HaveLen(keys))
			g.Expect(publisher.Current().Accounts()).To(HaveLen(5))
			g.Expect(publisher.Current().Version()).To(BeEquivalentTo(1 + keys))
			written, err := os.ReadFile(file)
			g.Expect(err).NotTo(HaveOccurred())
			change, err := config.DecodeChange(written)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(change.Expected).To(BeZero())

			second := run()
			g.Expect(second).To(ContainSubstring("Nothing differs from version"))
			g.Expect(second).NotTo(ContainSubstring("shown only now"))
			g.Expect(publisher.Current().Version()).To(BeEquivalentTo(1 + keys))

			current := filepath.Join(t.TempDir(), "current.json")
			g.Expect(os.WriteFile(current, config.EncodeSnapshot(publisher.Current()), 0o600)).To(Succeed())
			var output bytes.Buffer
			command := &quizCommand{answers: "../examples/quiz-" + name + ".json", current: current, input: strings.NewReader(""), output: &output}
			g.Expect(command.run(t.Context(), nil)).To(Succeed())
			g.Expect(output.String()).To(ContainSubstring("Nothing differs from version"))
		})
	}
}

func readExample(g Gomega, name string) []byte {
	content, err := os.ReadFile("../examples/quiz-" + name + ".json")
	g.Expect(err).NotTo(HaveOccurred())
	return content
}

// TestQuizAsksBeforeItApplies checks that an interactive session applies the change
// only if the user confirms it.
func TestQuizAsksBeforeItApplies(t *testing.T) {
	RegisterTestingT(t)
	typed, err := os.ReadFile("../quiz/testdata/session-defaults.txt")
	Expect(err).NotTo(HaveOccurred())
	publisher, url := serveAdmin(t, 0)
	for _, last := range []string{"no", "yes"} {
		g := NewWithT(t)
		g.Expect(publisher.Current()).To(BeNil())
		var output bytes.Buffer
		command := &quizCommand{
			apply: true, access: quizAccess{url: url, token: "token"},
			input: strings.NewReader(string(typed) + last + "\n"), output: &output,
		}
		g.Expect(command.run(t.Context(), nil)).To(Succeed())
		g.Expect(output.String()).To(ContainSubstring("Apply this change? Type yes: "))
	}
	Expect(publisher.Current().Version()).To(BeEquivalentTo(2))
}

func TestQuizRefuses(t *testing.T) {
	RegisterTestingT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	closedURL := "http://" + listener.Addr().String()
	Expect(listener.Close()).To(Succeed())
	_, url := serveAdmin(t, 0)
	tests := []struct {
		title   string
		command quizCommand
		problem string
	}{
		{"flags", quizCommand{apply: true}, "--entry: is required with --apply"},
		{"both", quizCommand{current: "x", access: quizAccess{url: url}}, "--current: is not used with --entry"},
		{"wrong answers", quizCommand{answers: "../quiz/testdata/wrong-memory.json"}, "engine/accelerators: all copies take"},
		{"no file", quizCommand{answers: "/does/not/exist"}, "no such file"},
		{"no token", quizCommand{answers: "../examples/quiz-vatuloa.json", access: quizAccess{url: url}}, "token"},
		{"nobody", quizCommand{answers: "../examples/quiz-vatuloa.json", access: quizAccess{url: closedURL}}, "refused"},
		{"too few lines", quizCommand{}, "the answers ended before the last question"},
	}
	for _, test := range tests {
		t.Run(test.title, func(t *testing.T) {
			g := NewWithT(t)
			test.command.input, test.command.output = strings.NewReader("1\n"), &bytes.Buffer{}
			g.Expect(test.command.run(t.Context(), nil)).To(MatchError(ContainSubstring(test.problem)))
		})
	}
	var validationError *setup.ValidationError
	Expect(errors.As((&quizCommand{apply: true}).run(t.Context(), nil), &validationError)).To(BeTrue())
}
