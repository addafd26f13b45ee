package config

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// document is the JSON form of a configuration or of one shard of it.
type document struct {
	Version     Version              `json:"version,omitempty"`
	Accounts    []accountDocument    `json:"accounts,omitempty"`
	Keys        []keyDocument        `json:"keys,omitempty"`
	Models      []modelDocument      `json:"models,omitempty"`
	Routes      []routeDocument      `json:"routes,omitempty"`
	Objectives  []objectiveDocument  `json:"objectives,omitempty"`
	SigningKeys []signingKeyDocument `json:"signingKeys,omitempty"`
}

type accountDocument struct {
	Name   string  `json:"name"`
	Rate   float64 `json:"rate"`
	Burst  int64   `json:"burst"`
	Weight int     `json:"weight"`
}

func encodeAccount(account ClientAccount) accountDocument {
	return accountDocument{
		Name:   string(account.Name()),
		Rate:   float64(account.Rate()),
		Burst:  int64(account.Burst()),
		Weight: account.Weight(),
	}
}

func (document accountDocument) decode() ClientAccount {
	return NewClientAccount(ClientAccountConfig{
		Name:   names.ClientAccount(document.Name),
		Rate:   call.TokenRate(document.Rate),
		Burst:  call.Tokens(document.Burst),
		Weight: document.Weight,
	})
}

type keyDocument struct {
	Name      string `json:"name"`
	Account   string `json:"account"`
	Hash      string `json:"hash"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

func encodeKey(key Key) keyDocument {
	return keyDocument{Name: string(key.Name()), Account: string(key.Account()), Hash: key.Hash(), Withdrawn: key.Withdrawn()}
}

func (document keyDocument) decode() Key {
	return NewKey(KeyConfig{
		Name:      names.Key(document.Name),
		Account:   names.ClientAccount(document.Account),
		Hash:      document.Hash,
		Withdrawn: document.Withdrawn,
	})
}

type adapterDocument struct {
	Name        string `json:"name"`
	WeightBytes int64  `json:"weightBytes"`
}

func encodeAdapter(adapter Adapter) adapterDocument {
	return adapterDocument{Name: string(adapter.Name()), WeightBytes: adapter.WeightBytes()}
}

func (document adapterDocument) decode() Adapter {
	return NewAdapter(AdapterConfig{Name: names.Adapter(document.Name), WeightBytes: document.WeightBytes})
}

type modelDocument struct {
	Name               string            `json:"name"`
	WeightBytes        int64             `json:"weightBytes"`
	CacheBytesPerToken int64             `json:"cacheBytesPerToken"`
	Adapters           []adapterDocument `json:"adapters,omitempty"`
}

func encodeModel(model Model) modelDocument {
	return modelDocument{
		Name:               string(model.Name()),
		WeightBytes:        model.WeightBytes(),
		CacheBytesPerToken: model.CacheBytesPerToken(),
		Adapters:           convert(model.Adapters(), encodeAdapter),
	}
}

func (document modelDocument) decode() Model {
	return NewModel(ModelConfig{
		Name:               names.Model(document.Name),
		WeightBytes:        document.WeightBytes,
		CacheBytesPerToken: document.CacheBytesPerToken,
		Adapters:           convert(document.Adapters, adapterDocument.decode),
	})
}

type routeDocument struct {
	Service    string `json:"service"`
	Method     string `json:"method,omitempty"`
	PathPrefix string `json:"pathPrefix"`
	Open       bool   `json:"open,omitempty"`
	Idempotent bool   `json:"idempotent,omitempty"`
	Kind       string `json:"kind"`
	Tokens     int64  `json:"tokens,omitempty"`
}

func encodeRoute(route Route) routeDocument {
	return routeDocument{
		Service:    string(route.Service()),
		Method:     route.Method(),
		PathPrefix: route.PathPrefix(),
		Open:       route.Open(),
		Idempotent: route.Idempotent(),
		Kind:       route.Kind().String(),
		Tokens:     int64(route.Tokens()),
	}
}

// decode returns the route. An unknown kind becomes zero, which validation
// reports.
func (document routeDocument) decode() Route {
	kind, err := call.ParseKind(document.Kind)
	if err != nil {
		kind = 0
	}
	return NewRoute(RouteConfig{
		Service:    names.Service(document.Service),
		Method:     document.Method,
		PathPrefix: document.PathPrefix,
		Open:       document.Open,
		Idempotent: document.Idempotent,
		Kind:       kind,
		Tokens:     call.Tokens(document.Tokens),
	})
}

type objectiveDocument struct {
	Kind                string  `json:"kind"`
	FirstTokenMicros    int64   `json:"firstTokenMicros,omitempty"`
	BetweenTokensMicros int64   `json:"betweenTokensMicros,omitempty"`
	WholeMicros         int64   `json:"wholeMicros,omitempty"`
	Share               float64 `json:"share"`
}

func encodeObjective(kind call.Kind, objective call.Objective) objectiveDocument {
	return objectiveDocument{
		Kind:                kind.String(),
		FirstTokenMicros:    objective.FirstToken().Microseconds(),
		BetweenTokensMicros: objective.BetweenTokens().Microseconds(),
		WholeMicros:         objective.Whole().Microseconds(),
		Share:               objective.Share(),
	}
}

func (document objectiveDocument) decode() (call.Kind, call.Objective) {
	kind, err := call.ParseKind(document.Kind)
	if err != nil {
		kind = 0
	}
	return kind, call.NewObjective(call.ObjectiveConfig{
		FirstToken:    time.Duration(document.FirstTokenMicros) * time.Microsecond,
		BetweenTokens: time.Duration(document.BetweenTokensMicros) * time.Microsecond,
		Whole:         time.Duration(document.WholeMicros) * time.Microsecond,
		Share:         document.Share,
	})
}

type signingKeyDocument struct {
	ID          string    `json:"id"`
	SignFrom    time.Time `json:"signFrom"`
	VerifyUntil time.Time `json:"verifyUntil"`
}

func encodeSigningKey(signingKey SigningKey) signingKeyDocument {
	return signingKeyDocument{ID: signingKey.ID(), SignFrom: signingKey.SignFrom(), VerifyUntil: signingKey.VerifyUntil()}
}

func (document signingKeyDocument) decode() SigningKey {
	return NewSigningKey(SigningKeyConfig(document))
}

// convert applies mapping to each element. It returns nil for an empty slice.
func convert[A, B any](elements []A, mapping func(A) B) []B {
	if len(elements) == 0 {
		return nil
	}
	converted := make([]B, len(elements))
	for i, element := range elements {
		converted[i] = mapping(element)
	}
	return converted
}
