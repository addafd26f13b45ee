package claim

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/names"
)

const (
	defaultCandidates       = 3
	defaultCandidateTimeout = time.Second
	defaultMaxAnswerBytes   = 1024
	defaultMaxConclusions   = 4096

	// unavailableRetryAfter is when to retry a call whose claim can't be stored.
	unavailableRetryAfter = 2 * time.Second
	// concludeRetryInterval is the time between two attempts to store a
	// conclusion, and maxConcludeAttempts is how many there are.
	concludeRetryInterval = 2 * time.Second
	maxConcludeAttempts   = 300
)

// ClientConfig configures a [Client]. A zero number means the default that its
// comment gives.
type ClientConfig struct {
	// Self is the name of this entry among the members.
	Self    names.Instance
	Members Members
	Host    *Host
	Peers   *Peers
	Clock   *clock.Service
	Logger  logrus.FieldLogger
	// Metrics is where the counters are registered; nil means that none are
	// published.
	Metrics metrics.Registry
	// Candidates is the maximum number of entries tried for one operation; the
	// default is 3.
	Candidates int
	// CandidateTimeout bounds the wait for the reply of each candidate; the
	// default is one second.
	CandidateTimeout time.Duration
	// MaxAnswerBytes is the size of the largest answer that is stored for
	// repeats; the default is 1024.
	MaxAnswerBytes int
	// MaxConclusions bounds the conclusions that wait to be stored; the default
	// is 4096.
	MaxConclusions int
}

// Client decides for an entry whether a call that may not be repeated can be
// sent, and records the call's outcome. All methods are safe for concurrent use.
//
// The entry sends a call at most once, only after [Proceed], and then calls
// [Client.Finish] or [Client.Release]. The operation that either of them
// submits is called the conclusion of the claim.
type Client struct {
	config ClientConfig
	// counters holds the counters by their metric names.
	counters map[string]metrics.Counter
	// done is closed when the client closes.
	done chan struct{}

	// mu guards conclusions and closed. conclusions holds a channel for each
	// conclusion that is being stored, closed once it is stored or abandoned.
	mu          sync.Mutex
	conclusions map[chan struct{}]struct{}
	closed      bool
}

// NewClient returns a client.
func NewClient(config ClientConfig) *Client {
	if config.Candidates <= 0 {
		config.Candidates = defaultCandidates
	}
	if config.CandidateTimeout <= 0 {
		config.CandidateTimeout = defaultCandidateTimeout
	}
	if config.MaxAnswerBytes <= 0 {
		config.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	if config.MaxConclusions <= 0 {
		config.MaxConclusions = defaultMaxConclusions
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewRegistry()
	}
	client := &Client{
		config:      config,
		counters:    map[string]metrics.Counter{},
		conclusions: map[chan struct{}]struct{}{},
		done:        make(chan struct{}),
	}
	for _, name := range []string{metricGranted, metricReplayed, metricDenied, metricFailed, metricUnrecorded} {
		client.counters[name] = metrics.GetOrRegisterCounter(name, config.Metrics)
	}
	return client
}

// The names of the counters.
const (
	metricGranted    = "claim.granted"
	metricReplayed   = "claim.replayed"
	metricDenied     = "claim.denied"
	metricFailed     = "claim.failed"
	metricUnrecorded = "claim.unrecorded"
)

// Begin decides whether a call can be sent. A call without an idempotency key
// always can, and nothing is stored for it.
func (client *Client) Begin(ctx context.Context, intent Intent) Verdict {
	if intent.IdempotencyKey == "" {
		return Proceed{}
	}
	claim := Claim{id: NewID(intent.Account, intent.IdempotencyKey), attempt: intent.Request}
	submissionResult := client.submit(ctx, Begin{Claim: claim, Fingerprint: intent.Fingerprint})
	if submissionResult.Withdraw != nil {
		client.conclude(*submissionResult.Withdraw)
	}
	switch reply := submissionResult.Reply.(type) {
	case Granted:
		client.counters[metricGranted].Inc(1)
		return Proceed{Claim: claim}
	case Replayed:
		client.counters[metricReplayed].Inc(1)
		return Replay(reply)
	case Denied:
		client.counters[metricDenied].Inc(1)
		return Refused(reply)
	default:
		client.counters[metricFailed].Inc(1)
		return Refused{Refusal: &call.Refusal{
			Code:       call.CodeUnavailable,
			Message:    "the idempotency key could not be stored",
			Outcome:    call.NotRun{},
			RetryAfter: unavailableRetryAfter,
		}}
	}
}

// Finish records, in the background, the outcome of the call that holds claim.
// An answer without a status is not stored. An outcome of [call.NotRun] releases
// the claim, as [Client.Release] does.
func (client *Client) Finish(claim Claim, outcome call.Outcome, answer Answer) {
	if !claim.isRecorded() {
		return
	}
	switch outcome.(type) {
	case call.NotRun:
		client.Release(claim)
	case call.Run:
		finish := Finish{Claim: claim, Ran: true}
		if answer.Status != 0 && answer.bytes() <= client.config.MaxAnswerBytes {
			finish.Answer = &answer
		}
		client.conclude(finish)
	default:
		client.conclude(Finish{Claim: claim})
	}
}

// Release withdraws, in the background, a claim whose call is proved never to
// have been sent to the backend server. A repeat may then run.
func (client *Client) Release(claim Claim) {
	if claim.isRecorded() {
		client.conclude(Release{Claim: claim})
	}
}

// Flush waits until all conclusions submitted so far are stored or abandoned.
func (client *Client) Flush(ctx context.Context) error {
	client.mu.Lock()
	pending := slices.Collect(maps.Keys(client.conclusions))
	client.mu.Unlock()
	for _, ended := range pending {
		select {
		case <-ended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Close abandons the conclusions that are not yet stored, and waits for the
// attempts in progress to end.
func (client *Client) Close() {
	client.mu.Lock()
	if !client.closed {
		client.closed = true
		close(client.done)
	}
	client.mu.Unlock()
	// The context never ends, so there is no error.
	_ = client.Flush(context.Background())
}

// submit tries the candidates for the operation's shard one after another until
// one of them decides the operation.
func (client *Client) submit(ctx context.Context, operation Operation) *SubmissionResult {
	shard := operation.Target().id.Shard(client.config.Host.Shards())
	candidates := Candidates(shard, client.config.Members.Members(), client.config.Candidates)
	if len(candidates) == 0 {
		candidates = []Member{{Instance: client.config.Self}}
	}
	submission := NewSubmission(operation, len(candidates))
	for {
		submissionResult := client.tryCandidate(ctx, submission, candidates[submission.Rank()], operation)
		if submissionResult == nil && ctx.Err() != nil {
			submissionResult = submission.Abort(false)
		}
		if submissionResult != nil {
			return submissionResult
		}
	}
}

// tryCandidate submits the operation to one candidate. It returns nil if the
// next one is to be tried.
func (client *Client) tryCandidate(ctx context.Context, submission *Submission, candidate Member, operation Operation) *SubmissionResult {
	ctx, cancel := context.WithTimeout(ctx, client.config.CandidateTimeout)
	defer cancel()
	if candidate.Instance == client.config.Self {
		return submission.HandleReply(client.config.Host.Submit(ctx, operation))
	}
	reply, err := client.config.Peers.Submit(ctx, candidate.Address, operation)
	if err != nil {
		var noReplyError *NoReplyError
		return submission.HandleNoReply(!errors.As(err, &noReplyError) || noReplyError.Delivered)
	}
	return submission.HandleReply(reply)
}

// conclude submits a conclusion in the background, and retries it after a
// failure until maxConcludeAttempts are used up.
func (client *Client) conclude(operation Operation) {
	ended := client.startConclusion()
	if ended == nil {
		client.reportUnrecorded(operation)
		return
	}
	go func() {
		defer client.endConclusion(ended)
		for range maxConcludeAttempts {
			if _, failed := client.submit(context.Background(), operation).Reply.(Failed); !failed {
				return
			}
			select {
			case <-client.config.Clock.After(concludeRetryInterval):
			case <-client.done:
				client.reportUnrecorded(operation)
				return
			}
		}
		client.reportUnrecorded(operation)
	}()
}

// startConclusion returns the channel of a new conclusion, or nil if the
// client is closed or MaxConclusions are waiting.
func (client *Client) startConclusion() chan struct{} {
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.closed || len(client.conclusions) >= client.config.MaxConclusions {
		return nil
	}
	ended := make(chan struct{})
	client.conclusions[ended] = struct{}{}
	return ended
}

func (client *Client) endConclusion(ended chan struct{}) {
	client.mu.Lock()
	defer client.mu.Unlock()
	delete(client.conclusions, ended)
	close(ended)
}

func (client *Client) reportUnrecorded(operation Operation) {
	client.counters[metricUnrecorded].Inc(1)
	fields := logrus.Fields{"request": operation.Target().attempt}
	event.ClaimUnrecorded.Log(client.config.Logger, fields)
}
