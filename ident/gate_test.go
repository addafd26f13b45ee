package ident_test

import (
	"errors"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/ident"
)

type freshness struct{ fresh bool }

func (freshness *freshness) Fresh() bool { return freshness.fresh }

func code(err error) call.Code {
	var refusal *call.Refusal
	if errors.As(err, &refusal) {
		return refusal.Code
	}
	return ""
}

var _ = Describe("gate", func() {
	hasher := ident.NewHasher([]byte("pepper"))
	snapshot := func(withdrawn bool) *config.Snapshot {
		return config.NewSnapshot(config.SnapshotConfig{
			Accounts: []config.ClientAccount{config.NewClientAccount(config.ClientAccountConfig{Name: "desk", Weight: 1})},
			Keys: []config.Key{
				config.NewKey(config.KeyConfig{Name: "k", Account: "desk", Hash: hasher.Hash("secret-1"), Withdrawn: withdrawn}),
				config.NewKey(config.KeyConfig{Name: "orphan", Account: "gone", Hash: hasher.Hash("secret-2")}),
			},
		})
	}

	It("admits only on a key that is valid by fresh configuration", func() {
		cases := []struct {
			name     string
			secret   string
			snapshot *config.Snapshot
			fresh    bool
			want     call.Code
		}{
			{"valid", "secret-1", snapshot(false), true, ""},
			{"valid but stale", "secret-1", snapshot(false), false, call.CodeStale},
			{"withdrawn", "secret-1", snapshot(true), true, call.CodeUnauthorized},
			{"withdrawn and stale", "secret-1", snapshot(true), false, call.CodeUnauthorized},
			{"unknown", "secret-3", snapshot(false), true, call.CodeUnauthorized},
			{"unknown and stale", "secret-3", snapshot(false), false, call.CodeStale},
			{"without account", "secret-2", snapshot(false), true, call.CodeUnauthorized},
			{"none", "", snapshot(false), true, call.CodeUnauthorized},
			{"no configuration", "secret-1", nil, true, call.CodeStale},
		}
		for _, each := range cases {
			gate := ident.NewGate(ident.GateConfig{Source: &source{each.snapshot}, Freshness: &freshness{each.fresh}, Hasher: hasher})
			admission, err := gate.Admit(each.secret)
			Expect(code(err)).To(Equal(each.want), each.name)
			if each.want == "" {
				Expect(admission.Account().Name()).To(BeEquivalentTo("desk"))
			}
		}
	})

	It("checks queued and running requests again", func() {
		source, freshness := &source{snapshot(false)}, &freshness{true}
		gate := ident.NewGate(ident.GateConfig{Source: source, Freshness: freshness, Hasher: hasher})
		admission, err := gate.Admit("secret-1")
		Expect(err).NotTo(HaveOccurred())
		Expect(gate.Recheck(admission)).To(Succeed())
		freshness.fresh = false
		Expect(code(gate.Recheck(admission))).To(Equal(call.CodeStale))
		Expect(gate.CheckRunning(admission)).To(Succeed())
		source.snapshot = snapshot(true)
		Expect(code(gate.Recheck(admission))).To(Equal(call.CodeUnauthorized))
		Expect(code(gate.CheckRunning(admission))).To(Equal(call.CodeUnauthorized))
	})

	It("takes one bearer key and nothing else", func() {
		cases := []struct {
			values []string
			secret string
			want   call.Code
		}{
			{nil, "", ""},
			{[]string{"Bearer abc"}, "abc", ""},
			{[]string{"bearer  abc "}, "abc", ""},
			{[]string{"Basic abc"}, "", call.CodeUnauthorized},
			{[]string{"Bearer"}, "", call.CodeUnauthorized},
			{[]string{"Bearer a b"}, "", call.CodeUnauthorized},
			{[]string{"Bearer a", "Bearer b"}, "", call.CodeUnauthorized},
		}
		for _, each := range cases {
			secret, err := ident.SecretFromHeader(http.Header{"Authorization": each.values})
			Expect(code(err)).To(Equal(each.want), "%v", each.values)
			Expect(secret).To(Equal(each.secret), "%v", each.values)
		}
	})
})
