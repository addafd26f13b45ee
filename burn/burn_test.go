package burn_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/burn"
	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/names"
)

var epoch = time.Date(2026, time.December, 1, 0, 0, 0, 0, time.UTC)

func source() config.Source {
	atomicSource := &config.AtomicSource{}
	atomicSource.Advance(config.NewSnapshot(config.SnapshotConfig{Version: 1, Objectives: map[call.Kind]call.Objective{
		call.KindInteractive: call.NewObjective(call.ObjectiveConfig{
			FirstToken: 460 * time.Millisecond, BetweenTokens: 46 * time.Millisecond, Share: 0.95,
		}),
		call.KindVerdict: call.NewObjective(call.ObjectiveConfig{Whole: time.Second, Share: 0.99}),
	}}))
	return atomicSource
}

func newRecorder() (*burn.Recorder, *clockwork.FakeClock) {
	fake := clockwork.NewFakeClockAt(epoch)
	return burn.NewRecorder(burn.RecorderConfig{Clock: clock.NewService(clock.ServiceConfig{Clock: fake}), Source: source()}), fake
}

func TestWhatCounts(t *testing.T) {
	tests := []struct {
		title  string
		sample burn.Sample
		total  int64
		cause  burn.Cause
	}{
		{"in time", burn.Sample{Kind: call.KindInteractive, FirstToken: 460 * time.Millisecond, LargestGap: 46 * time.Millisecond}, 1, burn.CauseNone},
		{"late first token", burn.Sample{Kind: call.KindInteractive, FirstToken: 461 * time.Millisecond}, 1, burn.CauseQueue},
		{"long gap", burn.Sample{Kind: call.KindInteractive, LargestGap: 47 * time.Millisecond}, 1, burn.CauseSlow},
		{"late verdict", burn.Sample{Kind: call.KindVerdict, Whole: 2 * time.Second}, 1, burn.CauseSlow},
		{"no objective", burn.Sample{Kind: call.KindBatch, Whole: time.Hour}, 1, burn.CauseNone},
		{"overloaded", burn.Sample{Kind: call.KindVerdict, Refusal: &call.Refusal{Code: call.CodeOverloaded}}, 1, burn.CauseQueue},
		{"loading", burn.Sample{Kind: call.KindVerdict, Refusal: &call.Refusal{Code: call.CodeLoading}}, 1, burn.CauseLoad},
		{"stale", burn.Sample{Kind: call.KindVerdict, Refusal: &call.Refusal{Code: call.CodeStale}}, 1, burn.CauseRefusal},
		{"broken", burn.Sample{Kind: call.KindVerdict, Refusal: &call.Refusal{Code: call.CodeBroken}}, 1, burn.CauseFailure},
		{"over its rate", burn.Sample{Kind: call.KindVerdict, Refusal: &call.Refusal{Code: call.CodeRateLimited}}, 0, burn.CauseNone},
		{"caller's fault", burn.Sample{Kind: call.KindVerdict, Refusal: &call.Refusal{Code: call.CodeBadRequest}}, 0, burn.CauseNone},
	}
	for _, test := range tests {
		t.Run(test.title, func(t *testing.T) {
			g := NewWithT(t)
			recorder, _ := newRecorder()
			test.sample.Account, test.sample.At = "a", epoch
			recorder.Record(test.sample)
			row := recorder.Rows()[0]
			counts := row.Counts()
			g.Expect(counts.Total()).To(Equal(test.total))
			g.Expect(row.TopCause()).To(Equal(test.cause))
		})
	}
}

// TestWindowsCountRecentSamples compares the counts of every window with a list
// of all samples.
func TestWindowsCountRecentSamples(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		recorder, fake := newRecorder()
		var all []burn.Sample
		for range rapid.IntRange(1, 60).Draw(t, "samples") {
			fake.Advance(time.Duration(rapid.Int64Range(0, int64(4*time.Hour)).Draw(t, "pause")))
			sample := burn.Sample{
				Account: rapid.SampledFrom([]names.ClientAccount{"a", "b"}).Draw(t, "account"),
				Kind:    rapid.SampledFrom([]call.Kind{call.KindVerdict, call.KindInteractive}).Draw(t, "kind"),
				At:      fake.Now(), Tokens: 10,
				FirstToken: time.Duration(rapid.IntRange(0, 1).Draw(t, "late")) * time.Second,
			}
			recorder.Record(sample)
			all = append(all, sample)
		}
		for _, row := range recorder.Rows() {
			step := time.Minute
			if row.Window() > 6*time.Hour {
				step = time.Hour
			}
			first := fake.Now().Truncate(step).Add(step - row.Window())
			total, missed := int64(0), int64(0)
			for _, sample := range all {
				if sample.Account != row.Account() || sample.Kind != row.Kind() || sample.At.Before(first) {
					continue
				}
				total++
				if sample.Kind == call.KindInteractive && sample.FirstToken > 0 {
					missed++
				}
			}
			counts := row.Counts()
			if counts.Total() != total || counts.TotalMissed() != missed || int64(counts.Tokens()) != 10*total {
				t.Fatalf("%s %s %v: %d of %d missed, expected %d of %d", row.Account(), row.Kind(), row.Window(),
					counts.TotalMissed(), counts.Total(), missed, total)
			}
		}
	})
}

// incidentReport returns a report merged from two entries that refused requests
// as overloaded in the last 69 of 200 minutes.
func incidentReport(g Gomega) *burn.Report {
	var entries [][]burn.Row
	for range 2 {
		recorder, fake := newRecorder()
		for number := range 200 {
			fake.Advance(time.Minute)
			sample := burn.Sample{Account: "levuka-racks", Kind: call.KindInteractive, At: fake.Now(), FirstToken: 100 * time.Millisecond, Tokens: 80}
			if number > 130 {
				sample.Refusal = &call.Refusal{Code: call.CodeOverloaded}
			}
			recorder.Record(sample)
			recorder.Record(burn.Sample{Account: "savusavu-office", Kind: call.KindVerdict, At: fake.Now(), Whole: time.Second, Tokens: 12})
		}
		encoded, err := burn.EncodeRows(recorder.Rows())
		g.Expect(err).NotTo(HaveOccurred())
		rows, err := burn.DecodeRows(encoded)
		g.Expect(err).NotTo(HaveOccurred())
		entries = append(entries, rows)
	}
	return burn.NewReport(burn.ReportConfig{Entries: entries, Unreached: []string{"http://127.0.0.1:1"}})
}

func TestReports(t *testing.T) {
	g := NewWithT(t)
	report := incidentReport(g)
	var text, usage, html bytes.Buffer
	g.Expect(report.WriteText(&text)).To(Succeed())
	g.Expect(report.WriteUsage(&usage)).To(Succeed())
	g.Expect(report.WriteHTML(&html, epoch)).To(Succeed())
	golden := goldie.New(t)
	golden.Assert(t, "burn", text.Bytes())
	golden.Assert(t, "usage", usage.Bytes())
	golden.Assert(t, "page", html.Bytes())
}

func TestAlerts(t *testing.T) {
	g := NewWithT(t)
	alerts := incidentReport(g).Alerts()
	g.Expect(alerts).To(HaveLen(1))
	g.Expect(alerts[0].Rule.Name).To(Equal("page"))
	g.Expect(alerts[0].Account).To(BeEquivalentTo("levuka-racks"))
}

func TestLabelsAreEscaped(t *testing.T) {
	g := NewWithT(t)
	recorder, fake := newRecorder()
	recorder.Record(burn.Sample{Account: "<script>alert(1)</script>", Kind: call.KindVerdict, At: fake.Now(), Whole: time.Hour})
	var html bytes.Buffer
	g.Expect(burn.NewReport(burn.ReportConfig{Entries: [][]burn.Row{recorder.Rows()}}).WriteHTML(&html, epoch)).To(Succeed())
	g.Expect(html.String()).NotTo(ContainSubstring("<script"))
}

func BenchmarkRecord(b *testing.B) {
	recorder, fake := newRecorder()
	b.ReportAllocs()
	for number := range b.N {
		recorder.Record(burn.Sample{
			Account: names.ClientAccount(rune('a' + number%26)), Kind: call.KindVerdict, At: fake.Now(), Whole: time.Millisecond,
		})
	}
}
