package burn

import (
	"time"

	"github.com/basilkeel/basilkeel/call"
	"github.com/basilkeel/basilkeel/names"
)

// Rule raises an alert if the burn rate over both windows is at least Rate. The
// short window ends the alert soon after the cause has ended.
type Rule struct {
	Name  string
	Long  time.Duration
	Short time.Duration
	Rate  float64
}

// Rules returns the alert rules, most urgent first. At their rates, 2%, 5% and
// 10% of the budget of thirty days are spent in an hour, six hours and three
// days.
func Rules() []Rule {
	return []Rule{
		{Name: "page", Long: time.Hour, Short: 5 * time.Minute, Rate: 14.4},
		{Name: "pageSlow", Long: 6 * time.Hour, Short: 30 * time.Minute, Rate: 6},
		{Name: "ticket", Long: 72 * time.Hour, Short: 6 * time.Hour, Rate: 1},
	}
}

// Alert is a rule that applies to an account and kind.
type Alert struct {
	Rule    Rule
	Account names.ClientAccount
	Kind    call.Kind
	// LongRate and ShortRate are the burn rates over the rule's windows.
	LongRate  float64
	ShortRate float64
}

// minAlertRequests is the lowest number of requests in the long window that can
// raise an alert. A burn rate over fewer requests is not significant.
const minAlertRequests = 20

// Alerts returns the alerts of the report, most urgent first. An account and
// kind has at most one alert, for the most urgent rule that applies.
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
