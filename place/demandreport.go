package place

import (
	"time"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

// demandReport is the demand that one instance last reported.
type demandReport struct {
	at      time.Time
	window  time.Duration
	message *wire.PlaceExchange
}

// accountUsage sums what one client account asked for and missed.
type accountUsage struct{ requested, missed float64 }

// attainment is the share of what was asked that was not missed.
func (accountUsage accountUsage) attainment() float64 {
	if accountUsage.requested <= 0 {
		return 1
	}
	return 1 - min(1, accountUsage.missed/accountUsage.requested)
}

// sumDemands adds up what instances reported.
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
