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

	// unavailableRetryAfter is when to come back once claims can't be stored.
	unavailableRetryAfter = 2 * time.Second
	// concludeRetryInterval is the time between two tries to store a conclusion, and
	// concludeTries how many there are.
	concludeRetryInterval = 2 * time.Second
	maxConcludeAttempts   = 300
)

// ClientConfig carries what a [Client] is built from. A zero number means the
// value given beside it.
type ClientConfig struct {
	// Self is this entry among the members.
	Self    names.Instance
	Members Members
	Host    *Host
	Peers   *Peers
	Clock   *clock.Service
	Logger  logrus.FieldLogger
	// Metrics takes the counters; nil means none are published.
	Metrics metrics.Registry
	// Candidates is how many entries are asked about a claim; 3.
	Candidates int
	// CandidateTimeout bounds the wait for each of them; one second.
	CandidateTimeout time.Duration
	// MaxAnswerBytes bounds the answers kept for repeats; 1024.
	MaxAnswerBytes int
	// MaxConclusions bounds the outcomes that wait to be stored; 4096.
	MaxConclusions int
}

// Client is what an entry asks before it sends a call that may not be
// repeated, and tells afterwards. All methods are safe for concurrent use.
//
// The entry sends a call at most once, only after [Proceed], and then calls
// [Client.Finish] or [Client.Release].
type Client struct {
	config   ClientConfig
	counters map[string]metrics.Counter
	// done is closed when the client closes.
	done chan struct{}

	// mu guards concluding, which holds a channel for each conclusion on its
	// way, closed once it is over, and closed.
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

// Begin decides about a call before it is sent. Without an idempotency key it
// always proceeds, and nothing is kept.
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

// Finish records, in the background, how the attempt of claim came out. An
// answer without a status is not kept. An outcome of [call.NotRun] releases the
// claim, as [Client.Release].
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

// Release withdraws, in the background, a claim whose call was proved never to
// have left for the backend server. A repeat may then run.
func (client *Client) Release(claim Claim) {
	if claim.isRecorded() {
		client.conclude(Release{Claim: claim})
	}
}

// Flush waits until the conclusions so far are stored or given up.
func (client *Client) Flush(ctx context.Context) error {
	client.mu.Lock()
	pending := slices.Collect(maps.Keys(client.conclusions))
	client.mu.Unlock()
	for _, done := range pending {
		select {
		case <-done:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Close gives up the conclusions that are not stored yet.
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

// submit takes an operation through the candidates of its shard.
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

// tryCandidate asks one candidate.
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

// conclude stores an operation in the background, trying again for a while.
func (client *Client) conclude(operation Operation) {
	done := client.startConclusion()
	if done == nil {
		client.reportUnrecorded(operation)
		return
	}
	go func() {
		defer client.endConclusion(done)
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

// startConclusion returns nil where there is no room for one more conclusion.
func (client *Client) startConclusion() chan struct{} {
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.closed || len(client.conclusions) >= client.config.MaxConclusions {
		return nil
	}
	done := make(chan struct{})
	client.conclusions[done] = struct{}{}
	return done
}

func (client *Client) endConclusion(done chan struct{}) {
	client.mu.Lock()
	defer client.mu.Unlock()
	delete(client.conclusions, done)
	close(done)
}

func (client *Client) reportUnrecorded(operation Operation) {
	client.counters[metricUnrecorded].Inc(1)
	fields := logrus.Fields{"request": operation.Target().attempt}
	event.ClaimUnrecorded.Log(client.config.Logger, fields)
}
