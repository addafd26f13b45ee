package place

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

// demandReport is the last demand report of one instance and the time of its
// receipt.
type demandReport struct {
	at      time.Time
	window  time.Duration
	message *wire.PlaceExchange
}

// accountUsage sums the tokens that one client account requested, and those of
// them that were not served in time.
type accountUsage struct{ requested, missed float64 }

// attainment returns the fraction of the requested tokens that was served in time.
func (accountUsage accountUsage) attainment() float64 {
	if accountUsage.requested <= 0 {
		return 1
	}
	return 1 - min(1, accountUsage.missed/accountUsage.requested)
}

// sumDemands sums the reports of all instances by model. The attainment of a
// client account is taken over all its models.
func sumDemands(reports map[names.Instance]demandReport) []Demand {
	accounts := map[string]accountUsage{}
	for _, report := range reports {
		for _, counted := range report.message.GetAccounts() {
			sum := accounts[counted.GetAccount()]
			sum.requested += float64(counted.GetAsked()) / report.window.Seconds()
			sum.missed += float64(counted.GetMissed()) / report.window.Seconds()
			accounts[counted.GetAccount()] = sum
		}
	}
	byModel := map[string]*Demand{}
	for _, report := range reports {
		for _, counted := range report.message.GetDemands() {
			demand := byModel[counted.GetModel()]
			if demand == nil {
				demand = &Demand{
					Model: names.Model(counted.GetModel()), WorstAttainment: 1, Adapters: map[names.Adapter]float64{},
				}
				byModel[counted.GetModel()] = demand
			}
			demand.TokensPerSecond += float64(counted.GetTokens()) / report.window.Seconds()
			for _, adapter := range counted.GetAdapters() {
				demand.Adapters[names.Adapter(adapter.GetAdapter())] += float64(adapter.GetTokens()) / report.window.Seconds()
			}
			for _, index := range counted.GetAccounts() {
				if int(index) < len(report.message.GetAccounts()) {
					worst := accounts[report.message.GetAccounts()[index].GetAccount()].attainment()
					demand.WorstAttainment = min(demand.WorstAttainment, worst)
				}
			}
		}
	}
	demands := make([]Demand, 0, len(byModel))
	for _, demand := range byModel {
		demands = append(demands, *demand)
	}
	return demands
}
