package copies

import (
	"fmt"

	"github.com/basilkeel/basilkeel/names"
)

// UnknownEngineError reports an engine that the registry does not list.
type UnknownEngineError struct {
	Server names.BackendServer
}

// Error implements error.
func (unknownEngineError *UnknownEngineError) Error() string {
	return fmt.Sprintf("engine %q is not in the registry", unknownEngineError.Server)
}

// OrderError reports an order that an engine did not accept.
type OrderError struct {
	Server names.BackendServer
	Order  Order
}

// Error implements error.
func (orderError *OrderError) Error() string {
	return fmt.Sprintf("engine %q did not take the order for model %q, adapter %q (unload %t)",
		orderError.Server, orderError.Order.Model, orderError.Order.Adapter, orderError.Order.Unload)
}
