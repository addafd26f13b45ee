package ident_test

import (
	"errors"
	"testing"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/ident"
)

// FuzzTicket presents bytes that no entry signed. All must be refused with a
// TicketError.
func FuzzTicket(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x0a, 0x00, 0x12, 0x03, 'a', 'b', 'c', 0x1a, 0x01, 'x'})
	verifier := ident.NewVerifier(ident.VerifierConfig{
		Keyring: ident.NewKeyring(ident.KeyringConfig{Secrets: [][]byte{[]byte("a secret that signs tickets")}}),
		Source:  &config.AtomicSource{}, Clock: clock.NewService(clock.ServiceConfig{}), Server: "runner",
	})
	f.Fuzz(func(t *testing.T, signed []byte) {
		_, err := verifier.Admit(signed)
		var ticketError *ident.TicketError
		if !errors.As(err, &ticketError) {
			t.Fatalf("ticket was accepted, or the error is not a TicketError: %v", err)
		}
	})
}
