package ident_test

import (
	"errors"
	"os"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/ident"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/proof"
)

func TestMain(m *testing.M) { os.Exit(proof.Main(m)) }

func TestIdent(t *testing.T) {
	RegisterFailHandler(Fail)
	proof.Suite(t, "ident")
}

// source is a config.Source whose snapshot a test can replace.
type source struct{ snapshot *config.Snapshot }

func (source *source) Current() *config.Snapshot { return source.snapshot }

func withSigningKeys(keys ...config.SigningKey) *source {
	return &source{snapshot: config.NewSnapshot(config.SnapshotConfig{SigningKeys: keys})}
}

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func timers(at time.Time) (*clock.Service, *clockwork.FakeClock) {
	fake := clockwork.NewFakeClockAt(at)
	return clock.NewService(clock.ServiceConfig{Clock: fake}), fake
}

func newSigner(at time.Time, secret string, source config.Source) *ident.Signer {
	service, _ := timers(at)
	keyring := ident.NewKeyring(ident.KeyringConfig{Secrets: [][]byte{[]byte(secret)}})
	return ident.NewSigner(ident.SignerConfig{Keyring: keyring, Source: source, Clock: service})
}

// newVerifier returns a verifier that was started one hour before the time at.
func newVerifier(at time.Time, capacity int, source config.Source, secrets ...string) (*ident.Verifier, *clockwork.FakeClock) {
	service, fake := timers(at.Add(-time.Hour))
	keyringConfig := ident.KeyringConfig{}
	for _, secret := range secrets {
		keyringConfig.Secrets = append(keyringConfig.Secrets, []byte(secret))
	}
	verifier := ident.NewVerifier(ident.VerifierConfig{
		Keyring: ident.NewKeyring(keyringConfig), Source: source, Clock: service, Server: "runner-1", ReplayCapacity: capacity,
	})
	fake.Advance(time.Hour)
	return verifier, fake
}

func sign(signer *ident.Signer, request names.Request) []byte {
	signed, err := signer.Sign(ident.Ticket{Account: "desk", Request: request, Kind: call.KindVerdict, Server: "runner-1", Attempt: 1})
	Expect(err).NotTo(HaveOccurred())
	return signed
}

func reason(err error) ident.TicketReason {
	var ticketError *ident.TicketError
	if errors.As(err, &ticketError) {
		return ticketError.Reason
	}
	return ""
}

var _ = Describe("tickets", func() {
	none := withSigningKeys()

	It("are accepted once, at one server, for a short time", func() {
		verifier, fake := newVerifier(start, 0, none, "fleet")
		signed := sign(newSigner(start, "fleet", none), "r1")
		ticket, err := verifier.Check(signed)
		Expect(err).NotTo(HaveOccurred())
		Expect(ticket.Account).To(BeEquivalentTo("desk"))
		admitted, err := verifier.Admit(signed)
		Expect(err).NotTo(HaveOccurred())
		Expect(admitted).To(Equal(ticket))
		for range 4 {
			_, err = verifier.Admit(signed)
			Expect(reason(err)).To(BeElementOf(ident.ReasonReplayed, ident.ReasonExpired))
			fake.Advance(3 * time.Second)
		}
	})

	It("are refused otherwise", func() {
		elsewhere, err := newSigner(start, "fleet", none).Sign(ident.Ticket{Kind: call.KindBatch, Server: "runner-2"})
		Expect(err).NotTo(HaveOccurred())
		gone := withSigningKeys(config.NewSigningKey(config.SigningKeyConfig{ID: "k1", SignFrom: start.Add(-time.Hour)}))
		cases := []struct {
			name   string
			signed []byte
			want   ident.TicketReason
		}{
			{"no ticket", []byte("x"), ident.ReasonMalformed},
			{"empty", nil, ident.ReasonSignature},
			{"other fleet", sign(newSigner(start, "other", none), "r"), ident.ReasonSignature},
			{"unknown signing key", sign(newSigner(start, "fleet", gone), "r"), ident.ReasonSignature},
			{"other server", elsewhere, ident.ReasonServer},
			{"old", sign(newSigner(start.Add(-ident.TicketLifetime-ident.MaxClockSkew-time.Second), "fleet", none), "r"), ident.ReasonExpired},
			{"of the future", sign(newSigner(start.Add(ident.MaxClockSkew+time.Second), "fleet", none), "r"), ident.ReasonExpired},
		}
		for _, each := range cases {
			verifier, _ := newVerifier(start, 0, none, "fleet")
			_, err := verifier.Admit(each.signed)
			Expect(reason(err)).To(Equal(each.want), each.name)
		}
	})

	It("issued before a restart are refused after it", func() {
		service, fake := timers(start)
		keyring := ident.NewKeyring(ident.KeyringConfig{Secrets: [][]byte{[]byte("fleet")}})
		restarted := ident.NewVerifier(ident.VerifierConfig{Keyring: keyring, Source: none, Clock: service, Server: "runner-1"})
		fake.Advance(time.Second)
		_, err := restarted.Admit(sign(newSigner(start.Add(ident.MaxClockSkew), "fleet", none), "r"))
		Expect(reason(err)).To(Equal(ident.ReasonExpired))
	})

	It("are refused when more come than can be remembered", func() {
		verifier, fake := newVerifier(start, 2, none, "fleet")
		signer := newSigner(start, "fleet", none)
		for i, want := range []ident.TicketReason{"", "", ident.ReasonCapacity} {
			_, err := verifier.Admit(sign(signer, names.Request(rune('a'+i))))
			Expect(reason(err)).To(Equal(want))
		}
		fake.Advance(time.Minute)
		_, err := verifier.Admit(sign(newSigner(start.Add(time.Minute), "fleet", none), "d"))
		Expect(err).NotTo(HaveOccurred())
	})

	It("are remembered after the replay cache rotates", func() {
		verifier, fake := newVerifier(start, 0, none, "fleet")
		_, err := verifier.Admit(sign(newSigner(start, "fleet", none), "first"))
		Expect(err).NotTo(HaveOccurred())
		fake.Advance(9 * time.Second)
		signed := sign(newSigner(start.Add(9*time.Second), "fleet", none), "second")
		_, err = verifier.Admit(signed)
		Expect(err).NotTo(HaveOccurred())
		fake.Advance(time.Second)
		_, err = verifier.Admit(sign(newSigner(start.Add(10*time.Second), "fleet", none), "third"))
		Expect(err).NotTo(HaveOccurred())
		_, err = verifier.Admit(signed)
		Expect(reason(err)).To(Equal(ident.ReasonReplayed))
	})

	It("survive the roll-out of another secret of the fleet", func() {
		verifier, _ := newVerifier(start, 0, none, "new", "old")
		for _, secret := range []string{"old", "new"} {
			_, err := verifier.Admit(sign(newSigner(start, secret, none), names.Request(secret)))
			Expect(err).NotTo(HaveOccurred())
		}
	})
})

// TestAlteredTickets alters one byte of a signed ticket. The verifier must
// refuse it, or decode the same ticket.
func TestAlteredTickets(t *testing.T) {
	RegisterTestingT(t)
	none := withSigningKeys()
	signed := sign(newSigner(start, "fleet", none), "r1")
	verifier, _ := newVerifier(start, 0, none, "fleet")
	want, err := verifier.Check(signed)
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		altered := append([]byte(nil), signed...)
		index := rapid.IntRange(0, len(altered)-1).Draw(t, "index")
		altered[index] ^= rapid.ByteRange(1, 255).Draw(t, "bits")
		got, err := verifier.Check(altered)
		if err == nil && got != want {
			t.Fatalf("altered ticket was accepted as %+v", got)
		}
	})
}

// TestRotation rotates signing keys while entries and agents receive each
// configuration up to 12 s late and their clocks differ. No ticket may be
// refused.
func TestRotation(t *testing.T) {
	RegisterTestingT(t)
	const lag = 12 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		var published []time.Time
		var states []*source
		var keys []config.SigningKey
		now := start
		for i := range rapid.IntRange(1, 4).Draw(t, "keys") {
			published = append(published, now)
			from := now.Add(ident.SigningOverlap)
			keys = append(keys, config.NewSigningKey(config.SigningKeyConfig{ID: string(rune('a' + i)), SignFrom: from, VerifyUntil: from.Add(time.Second)}))
			states = append(states, withSigningKeys(keys...))
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Second)
		}
		at := start.Add(time.Duration(rapid.IntRange(0, 1_000_000).Draw(t, "at")) * time.Millisecond)
		seen := func(label string) config.Source {
			reached := at.Add(-time.Duration(rapid.IntRange(0, int(lag/time.Millisecond)).Draw(t, label)) * time.Millisecond)
			source := withSigningKeys()
			for i, published := range published {
				if !published.After(reached) {
					source = states[i]
				}
			}
			return source
		}
		skew := time.Duration(rapid.IntRange(0, 2_000).Draw(t, "skew")) * time.Millisecond
		verifier, _ := newVerifier(at.Add(skew), 0, seen("agent"), "fleet")
		if _, err := verifier.Admit(sign(newSigner(at, "fleet", seen("entry")), "r")); err != nil {
			t.Fatalf("a ticket was refused at %v: %v", at.Sub(start), err)
		}
	})
}
