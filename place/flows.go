package place

import "github.com/basilkeel/basilkeel/config"

// fillRounds is how often what is left of a rate is offered again.
const fillRounds = 4

// estimateFlows expects for each copy the part of the model's rate that a router by load
// sends to it: in proportion to the speed that its server has free.
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

// eachOffer splits what is left of each rate.
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

// sumFlows makes the loads of servers and what is left of rates anew.
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
