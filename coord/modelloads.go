package coord

import (
	"time"
	"unicode/utf8"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/policy"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/wire"
)

const (
	// adapterUseLifetime is how long the use of an adapter is remembered.
	adapterUseLifetime = time.Minute
	// maxModelRequests is more than an entry runs for a model on one engine.
	maxModelRequests = 1 << 16
)

// modelCopy identifies a copy of a model.
type modelCopy struct {
	server      names.BackendServer
	incarnation int64
	model       names.Model
}

// adapterCopy identifies an adapter of a copy.
type adapterCopy struct {
	modelCopy
	adapter names.Adapter
}

// modelLoadsOf returns the loads in a report by copy, and the number of those that are
// malformed, which are ignored.
func modelLoadsOf(report Report) (loads map[modelCopy]int, invalid int) {
	for _, each := range report.ModelLoads {
		if each.Running <= 0 || each.Running > maxModelRequests || each.Model == "" {
			invalid++
			continue
		}
		if loads == nil {
			loads = map[modelCopy]int{}
		}
		loads[copyOf(each)] += each.Running
	}
	return loads, invalid
}

func copyOf(load pool.ModelLoad) modelCopy {
	return modelCopy{server: load.Server, incarnation: load.Incarnation, model: load.Model}
}

// recordAdapterUses records the adapters that requests use. It is called with the
// coordinator's mutex held.
func (term *term) recordAdapterUses(report Report, now time.Time) {
	for _, each := range report.ModelLoads {
		if each.Adapter != "" && each.Running > 0 {
			term.adapterUses[adapterCopy{modelCopy: copyOf(each), adapter: each.Adapter}] = now
		}
	}
}

// engineUsage is what entries report of the use of engines in a term. It implements
// [copies.Usage].
type engineUsage struct {
	coordinator *Coordinator
	term        *term
}

// AdapterUsedAt implements [copies.Usage].
func (engineUsage *engineUsage) AdapterUsedAt(server *pool.Server, adapter pool.Adapter) (usedAt time.Time, known bool) {
	coordinator := engineUsage.coordinator
	snapshot := coordinator.config.Policy()
	if snapshot == nil || snapshot.Scheduling(server.Service) == nil {
		return time.Time{}, false
	}
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	copied := modelCopy{server: server.ID, incarnation: server.Incarnation, model: adapter.Model}
	return engineUsage.term.adapterUses[adapterCopy{modelCopy: copied, adapter: adapter.Name}], true
}

// ModelRequests implements [copies.Usage].
func (engineUsage *engineUsage) ModelRequests(server *pool.Server, model names.Model) (running int, known bool) {
	return engineUsage.coordinator.modelRequests(engineUsage.term, server, model)
}

// modelRequests returns the number of requests that all entries run for a model on a
// server. It is unknown for a service whose requests are not scheduled, and until all
// entries have had the time to report in this term.
func (coordinator *Coordinator) modelRequests(term *term, server *pool.Server, model names.Model) (running int, known bool) {
	snapshot := coordinator.config.Policy()
	if snapshot == nil || snapshot.Scheduling(server.Service) == nil {
		return 0, false
	}
	now := coordinator.config.Clock.Now()
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	if now.Sub(term.startedAt) < reportLifetime {
		return 0, false
	}
	return term.modelLoads[modelCopy{server: server.ID, incarnation: server.Incarnation, model: model}], true
}

// addModelLoads adds the requests for copies to the totals, or subtracts them if sign is
// negative. It is called with the coordinator's mutex held.
func (term *term) addModelLoads(loads map[modelCopy]int, sign int) {
	for modelCopy, running := range loads {
		term.modelLoads[modelCopy] += sign * running
		if term.modelLoads[modelCopy] == 0 {
			delete(term.modelLoads, modelCopy)
		}
	}
}

// expireAdapterUses forgets uses of adapters that are long ago. It is called with the
// coordinator's mutex held.
func (term *term) expireAdapterUses(now time.Time) {
	for adapterCopy, usedAt := range term.adapterUses {
		if now.Sub(usedAt) > adapterUseLifetime {
			delete(term.adapterUses, adapterCopy)
		}
	}
}

// ownModelLoads returns this entry's requests for copies of the services whose requests are
// scheduled. A name that is not UTF-8 text could not be encoded, and is that of no model.
func (client *Client) ownModelLoads(snapshot *policy.Snapshot) []pool.ModelLoad {
	loads := client.config.Pool.OwnModelLoads(func(service names.Service) bool { return snapshot.Scheduling(service) != nil })
	kept := loads[:0]
	for _, load := range loads {
		if utf8.ValidString(string(load.Model)) && utf8.ValidString(string(load.Adapter)) {
			kept = append(kept, load)
		}
	}
	return kept
}

func encodeModelLoads(loads []pool.ModelLoad) []*wire.CoordModelLoad {
	encoded := make([]*wire.CoordModelLoad, 0, len(loads))
	for _, load := range loads {
		encoded = append(encoded, &wire.CoordModelLoad{Server: string(load.Server), Born: load.Incarnation, Model: string(load.Model), Adapter: string(load.Adapter), Running: int32(load.Running)})
	}
	return encoded
}

func decodeModelLoads(encoded []*wire.CoordModelLoad) []pool.ModelLoad {
	loads := make([]pool.ModelLoad, 0, len(encoded))
	for _, message := range encoded {
		loads = append(loads, pool.ModelLoad{
			Server: names.BackendServer(message.GetServer()), Incarnation: message.GetBorn(), Model: names.Model(message.GetModel()),
			Adapter: names.Adapter(message.GetAdapter()), Running: int(message.GetRunning()),
		})
	}
	return loads
}
