package pool

import (
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/permit"
)

// ModelLoad is the number of requests that instances run for a model, or for one of its
// adapters, on a server.
type ModelLoad struct {
	Server      names.BackendServer
	Incarnation int64
	Model       names.Model
	// Adapter is empty for the model without an adapter.
	Adapter names.Adapter
	Running int
}

// modelOnServer identifies the requests for a model and adapter on a server.
type modelOnServer struct {
	server  permit.Server
	service names.Service
	model   names.Model
	adapter names.Adapter
}

// AddModelRequests adds delta to the number of this instance's requests that run for a
// model, and an adapter unless that is empty, on a server.
func (pool *Pool) AddModelRequests(server *Server, model names.Model, adapter names.Adapter, delta int) {
	if model == "" {
		return
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	key := modelOnServer{server: server.Identity(), service: server.Service, model: model, adapter: adapter}
	pool.modelRequests[key] += delta
	if pool.modelRequests[key] <= 0 {
		delete(pool.modelRequests, key)
	}
}

// OwnModelLoads returns this instance's requests for models on the servers of the services
// that reported selects.
func (pool *Pool) OwnModelLoads(reported func(names.Service) bool) []ModelLoad {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	var loads []ModelLoad
	for key, running := range pool.modelRequests {
		if reported(key.service) {
			loads = append(loads, ModelLoad{Server: key.server.ID, Incarnation: key.server.Incarnation, Model: key.model, Adapter: key.adapter, Running: running})
		}
	}
	return loads
}
