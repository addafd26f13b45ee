package place

import (
	"sort"
	"sync"
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

// Usage is the usage of one request. Tokens are the prompt and output tokens.
type Usage struct {
	Account names.ClientAccount
	Model   names.Model
	Adapter names.Adapter
	Tokens  call.Tokens
	// Missed is true if the request was not served in time, as when an entry
	// rejected it.
	Missed bool
}

// Meter counts demand at one instance. Each request must be counted once in the
// fleet: by the agent that ran it, or by the entry that rejected it. It is safe
// for concurrent use.
type Meter struct {
	// mu guards the fields below.
	mu        sync.Mutex
	since     time.Time
	models    map[names.Model]*modelUsage
	byAccount map[names.ClientAccount]*accountUsage
}

type modelUsage struct {
	tokens   int64
	adapters map[names.Adapter]int64
	accounts map[names.ClientAccount]bool
}

// NewMeter returns a meter that starts counting at now.
func NewMeter(now time.Time) *Meter {
	meter := &Meter{}
	meter.clear(now)
	return meter
}

func (meter *Meter) clear(now time.Time) {
	meter.since, meter.models, meter.byAccount = now, map[names.Model]*modelUsage{}, map[names.ClientAccount]*accountUsage{}
}

// Count adds the usage of one request.
func (meter *Meter) Count(usage Usage) {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	model := meter.models[usage.Model]
	if model == nil {
		model = &modelUsage{adapters: map[names.Adapter]int64{}, accounts: map[names.ClientAccount]bool{}}
		meter.models[usage.Model] = model
	}
	model.tokens += int64(usage.Tokens)
	model.accounts[usage.Account] = true
	if usage.Adapter != "" {
		model.adapters[usage.Adapter] += int64(usage.Tokens)
	}
	total := meter.byAccount[usage.Account]
	if total == nil {
		total = &accountUsage{}
		meter.byAccount[usage.Account] = total
	}
	total.requested += float64(usage.Tokens)
	if usage.Missed {
		total.missed += float64(usage.Tokens)
	}
}

// drain moves the counts into request and starts a new window at now.
func (meter *Meter) drain(now time.Time, request *wire.PlaceExchange) {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	request.WindowMicros = now.Sub(meter.since).Microseconds()
	indexes := map[names.ClientAccount]uint32{}
	for name, total := range meter.byAccount {
		indexes[name] = uint32(len(request.Accounts))
		request.Accounts = append(request.Accounts, &wire.PlaceAccount{
			Account: string(name), Asked: int64(total.requested), Missed: int64(total.missed),
		})
	}
	for name, model := range meter.models {
		demand := &wire.PlaceDemand{Model: string(name), Tokens: model.tokens}
		for adapter, tokens := range model.adapters {
			demand.Adapters = append(demand.Adapters, &wire.PlaceAdapterDemand{Adapter: string(adapter), Tokens: tokens})
		}
		for name := range model.accounts {
			demand.Accounts = append(demand.Accounts, indexes[name])
		}
		request.Demands = append(request.Demands, demand)
	}
	sort.Slice(request.Demands, func(i, j int) bool { return request.Demands[i].GetModel() < request.Demands[j].GetModel() })
	meter.clear(now)
}
