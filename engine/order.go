package engine

import "github.com/basilkeel/basilkeel/names"

// Fence is the fencing token of an order. Once an engine has seen an epoch,
// orders with lower epochs are obsolete. Some engines refuse them; others do not
// check the epoch.
type Fence struct {
	// Epoch numbers the successive agents of one backend server; it only
	// increases.
	Epoch int64
	// Sequence numbers the orders of one agent, from one.
	Sequence int64
}

// Order is a request to an engine to change what is resident, or its role.
type Order struct {
	Fence  Fence
	Action Action
}

// Action is the change that an order requests. It is sealed: [LoadModel],
// [UnloadModel], [LoadAdapter], [UnloadAdapter] and [ChangeRole] implement it.
//
//sumtype:decl
type Action interface{ action() }

// LoadModel loads a model.
type LoadModel struct {
	Model names.Model
	Bytes int64
}

// UnloadModel unloads a model and its adapters.
type UnloadModel struct{ Model names.Model }

// LoadAdapter loads an adapter of a resident model.
type LoadAdapter struct {
	Model   names.Model
	Adapter names.Adapter
	Bytes   int64
}

// UnloadAdapter unloads an adapter.
type UnloadAdapter struct {
	Model   names.Model
	Adapter names.Adapter
}

// ChangeRole changes which kinds of work the engine accepts.
type ChangeRole struct{ Role Role }

func (LoadModel) action()     {}
func (UnloadModel) action()   {}
func (LoadAdapter) action()   {}
func (UnloadAdapter) action() {}
func (ChangeRole) action()    {}

// Role selects the kinds of work that an engine runs.
type Role string

const (
	// RoleMixed processes prompts and generates output.
	RoleMixed Role = "mixed"
	// RolePrefill processes prompts only.
	RolePrefill Role = "prefill"
	// RoleDecode generates output only.
	RoleDecode Role = "decode"
)
