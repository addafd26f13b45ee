package place

import "github.com/basilkeel/basilkeel/config"

// fillRounds is the number of rounds in which the unserved part of each rate is
// offered to the copies.
const fillRounds = 4

// estimateFlows estimates the part of each model's rate that every copy will
// receive. It assumes that the router balances by load, so that requests are
// split in proportion to the free speed of the hosts.
func (planner *Planner) estimateFlows(input Input) {
	for _, model := range input.Models {
		copies := planner.copies[model.Name()]
		copies.unserved = copies.rate
	}
	for range fillRounds {
		for _, host := range planner.ordered {
			host.offered = 0
		}
		planner.eachOffer(input.Models, func(_ *copies, host *host, offer float64) { host.offered += offer })
		for _, host := range planner.ordered {
			host.grantedShare = 1
			if free := host.speed - host.load; host.offered > free {
				host.grantedShare = free / host.offered
			}
		}
		planner.eachOffer(input.Models, func(copies *copies, host *host, offer float64) {
			copies.flows[host] += offer * host.grantedShare
		})
		planner.sumFlows(input.Models)
	}
}

// eachOffer splits the unserved part of each model's rate over its copies, in
// proportion to the free speed of their hosts, and passes each part to take.
func (planner *Planner) eachOffer(models []config.Model, take func(*copies, *host, float64)) {
	for _, model := range models {
		copies := planner.copies[model.Name()]
		if copies.unserved <= 0 {
			continue
		}
		var free float64
		for _, host := range copies.all() {
			free += host.speed - host.load
		}
		if free <= 0 {
			continue
		}
		for _, host := range copies.all() {
			take(copies, host, copies.unserved*(host.speed-host.load)/free)
		}
	}
}

// sumFlows recomputes the load of each host and the unserved part of each rate
// from the flows.
func (planner *Planner) sumFlows(models []config.Model) {
	for _, host := range planner.ordered {
		host.load = 0
	}
	for _, model := range models {
		copies := planner.copies[model.Name()]
		copies.unserved = copies.rate
		for _, host := range copies.all() {
			host.load += copies.flows[host]
			copies.unserved -= copies.flows[host]
		}
	}
	for _, host := range planner.ordered {
		host.load = min(host.load, host.speed)
	}
}
