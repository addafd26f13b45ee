package config

import (
	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// Edit is one step of a [Change]. Only the types in this file implement it.
//
//sumtype:decl
type Edit interface{ edit() }

// PutAccount creates or replaces a client account.
type PutAccount struct{ Account ClientAccount }

// RemoveAccount removes a client account, which must have no keys left.
type RemoveAccount struct{ Name names.ClientAccount }

// PutKey creates or replaces a key. It is rejected if it would reinstate a
// withdrawn key.
type PutKey struct{ Key Key }

// RemoveKey removes a key.
type RemoveKey struct{ Name names.Key }

// WithdrawKey stops a key from admitting requests. It cannot be undone.
type WithdrawKey struct{ Name names.Key }

// PutModel creates or replaces a model with its adapters.
type PutModel struct{ Model Model }

// RemoveModel removes a model with its adapters.
type RemoveModel struct{ Name names.Model }

// PutAdapter creates or replaces an adapter of a model.
type PutAdapter struct {
	Model   names.Model
	Adapter Adapter
}

// RemoveAdapter removes an adapter of a model.
type RemoveAdapter struct {
	Model names.Model
	Name  names.Adapter
}

// PutRoutes replaces all routes of a service. Routes are in order of
// precedence; an empty list removes the service.
type PutRoutes struct {
	Service names.Service
	Routes  []Route
}

// PutObjective sets the latency objective for requests of a kind.
type PutObjective struct {
	Kind      call.Kind
	Objective call.Objective
}

// PutSigningKey creates or replaces a ticket signing key.
type PutSigningKey struct{ SigningKey SigningKey }

// RemoveSigningKey removes a ticket signing key.
type RemoveSigningKey struct{ ID string }

func (PutAccount) edit()       {}
func (RemoveAccount) edit()    {}
func (PutKey) edit()           {}
func (RemoveKey) edit()        {}
func (WithdrawKey) edit()      {}
func (PutModel) edit()         {}
func (RemoveModel) edit()      {}
func (PutAdapter) edit()       {}
func (RemoveAdapter) edit()    {}
func (PutRoutes) edit()        {}
func (PutObjective) edit()     {}
func (PutSigningKey) edit()    {}
func (RemoveSigningKey) edit() {}
