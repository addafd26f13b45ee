package trial_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/engine"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/stand"
	"github.com/basilkeel/basilkeel/trial"
)

// stream is a streamed completion that a caller reads.
type stream struct {
	response *http.Response
	prompt   string
	tokens   int
	lines    *bufio.Scanner
	// text is the concatenation of the count pieces read so far.
	text  string
	count int
	// done reports whether the final event was received; failure is the error event.
	done    bool
	failure string
}

// openStream requests a streamed completion of tokens pieces.
func openStream(ctx context.Context, client *http.Client, url, prompt string, tokens int) *stream {
	stream, refusal := tryOpenStream(ctx, client, url, prompt, tokens)
	Expect(refusal).To(BeEmpty())
	return stream
}

// openQueuedStream requests a stream again while queues refuse it, as they may beside many others on
// a slow machine.
func openQueuedStream(ctx context.Context, client *http.Client, url, prompt string, tokens int) *stream {
	for {
		stream, refusal := tryOpenStream(ctx, client, url, prompt, tokens)
		if stream != nil {
			return stream
		}
		Expect(refusal).To(ContainSubstring(`"code":"overloaded"`))
		Expect(refusal).To(ContainSubstring(`"outcome":"notRun"`))
		select {
		case <-ctx.Done():
			Expect(ctx.Err()).NotTo(HaveOccurred(), refusal)
		case <-time.After(time.Second):
		}
	}
}

// tryOpenStream requests a streamed completion of tokens pieces. If it is refused, it returns the
// response as text.
func tryOpenStream(ctx context.Context, client *http.Client, url, prompt string, tokens int) (*stream, string) {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, trial.Model, prompt, tokens)
	response := send(ctx, client, http.MethodPost, url+"/v1/completions", body, nil)
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		return nil, fmt.Sprintf("%d %v: %s", response.StatusCode, response.Header, text)
	}
	return &stream{response: response, prompt: prompt, tokens: tokens, lines: bufio.NewScanner(response.Body)}, ""
}

// read reads up to pieces more pieces, or the rest of the stream if pieces is zero.
func (stream *stream) read(pieces int) {
	for until := stream.count + pieces; pieces == 0 || stream.count < until; {
		if !stream.lines.Scan() {
			stream.response.Body.Close()
			return
		}
		stream.parseLine(stream.lines.Text())
	}
}

func (stream *stream) parseLine(line string) {
	data, isData := strings.CutPrefix(line, "data: ")
	if !isData {
		return
	}
	if data == "[DONE]" {
		stream.done = true
		return
	}
	var event struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
		Error json.RawMessage `json:"error"`
	}
	Expect(json.Unmarshal([]byte(data), &event)).To(Succeed())
	if event.Error != nil {
		stream.failure = string(event.Error)
		return
	}
	if text := event.Choices[0].Text; text != "" {
		stream.text += text
		stream.count++
	}
}

// expected returns the text that the stand-in engine generates for the request.
func (stream *stream) expected() string {
	return stand.EngineFullText(engine.Generation{
		Request: names.Request(stream.response.Header.Get("X-Request-Id")),
		Model:   trial.Model, Prompt: stream.prompt, MaxTokens: call.Tokens(stream.tokens),
	})
}

// send sends a request with the access key of the client account.
func send(ctx context.Context, client *http.Client, method, url, body string, header http.Header) *http.Response {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	if header != nil {
		request.Header = header.Clone()
	}
	request.Header.Set("Authorization", "Bearer "+trial.Secret)
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	Expect(err).NotTo(HaveOccurred())
	return response
}
