package burn

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// Rule raises an alert where both windows burn faster than a rate. The short
// window ends the alert soon after the cause has ended.
type Rule struct {
	Name  string
	Long  time.Duration
	Short time.Duration
	Rate  float64
}

// Rules lists the alert rules, most urgent first. The rates spend 2%, 5% and
// 10% of the budget of thirty days in an hour, six hours and three days.
func Rules() []Rule {
	return []Rule{
		{Name: "page", Long: time.Hour, Short: 5 * time.Minute, Rate: 14.4},
		{Name: "pageSlow", Long: 6 * time.Hour, Short: 30 * time.Minute, Rate: 6},
		{Name: "ticket", Long: 72 * time.Hour, Short: 6 * time.Hour, Rate: 1},
	}
}

// Alert is a rule that an account and kind have broken.
type Alert struct {
	Rule    Rule
	Account names.ClientAccount
	Kind    call.Kind
	// LongRate and ShortRate are the burn rates of both windows.
	LongRate  float64
	ShortRate float64
}

// minAlertRequests is the least number of requests in the long window for an
// alert: one miss among few says little.
const minAlertRequests = 20

// Alerts lists the rules that are broken, most urgent first; an account and
// kind is listed once, under the most urgent.
func (report *Report) Alerts() []Alert {
	var alerts []Alert
	raised := make(map[accountKind]bool)
	for _, rule := range Rules() {
		for _, long := range report.Window(rule.Long) {
			key := accountKind{account: long.Account(), kind: long.Kind()}
			counts := long.Counts()
			if raised[key] || counts.Total() < minAlertRequests || long.BurnRate() < rule.Rate {
				continue
			}
			short, found := report.row(long.Account(), long.Kind(), rule.Short)
			if !found || short.BurnRate() < rule.Rate {
				continue
			}
			raised[key] = true
			alerts = append(alerts, Alert{
				Rule: rule, Account: long.Account(), Kind: long.Kind(),
				LongRate: long.BurnRate(), ShortRate: short.BurnRate(),
			})
		}
	}
	return alerts
}
