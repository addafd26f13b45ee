package coord

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/permit"
	"github.com/basilkeel/basilkeel/pool"
	"github.com/basilkeel/basilkeel/wire"
)

// exchangeRates merges the rates in an entry's report and returns those that the entry
// lacks, with the number of the last change. It is called with the coordinator's mutex
// held.
func (term *term) exchangeRates(report Report) ([]permit.Statement, int64) {
	term.issuer.Register().Merge(report.Rates)
	version := report.RatesVersion
	if report.Holdings.Term != term.number {
		version = 0
	}
	return term.issuer.Register().Since(version)
}

// expireRates drops the rates of servers that are not listed any more.
func (coordinator *Coordinator) expireRates(term *term, servers []*pool.Server, now time.Time) {
	listed := make(map[permit.Server]bool, len(servers))
	for _, server := range servers {
		listed[server.Identity()] = true
	}
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	term.issuer.Expire(func(server permit.Server) bool { return listed[server] }, now)
}

// limitedRates returns the rates of the servers that declare one or are cold. It is called
// with the coordinator's mutex held.
func (coordinator *Coordinator) limitedRates(term *term, servers []*pool.Server, now time.Time) map[names.BackendServer]float64 {
	rates := term.declaredRates(servers)
	if coordinator.config.ColdRate == nil {
		return rates
	}
	for _, server := range servers {
		perSecond, cold := coordinator.config.ColdRate(server, now)
		if declared, found := rates[server.ID]; !cold || found && declared < perSecond {
			continue
		}
		if rates == nil {
			rates = map[names.BackendServer]float64{}
		}
		rates[server.ID] = perSecond
	}
	return rates
}

// declaredRates returns the rates of the servers that declare one. It is called with the
// coordinator's mutex held.
func (term *term) declaredRates(servers []*pool.Server) map[names.BackendServer]float64 {
	var rates map[names.BackendServer]float64
	for _, server := range servers {
		limited, found := term.issuer.Register().Rate(server.Identity())
		if !found {
			continue
		}
		if rates == nil {
			rates = map[names.BackendServer]float64{}
		}
		rates[server.ID] = limited.PerSecond
	}
	return rates
}

// applyRates applies the declared rates in the coordinator's reply, and this entry's
// place among all entries. If the term has changed, the next report repeats all rates
// that this entry knows.
func (client *Client) applyRates(reply Reply, reported int64, asked time.Time) {
	client.ratesVersion, client.reportedRates = reply.RatesVersion, reported
	if reply.Term != client.holdingsVersion.Term {
		client.reportedRates = 0
	}
	gate := client.config.Pool.Gate()
	gate.RecordAnswer(permit.Place{Rank: reply.Rank, Entries: reply.Entries}, asked)
	observer := permit.Observer{Log: client.config.Log, Metrics: client.config.Metrics}
	for _, statement := range gate.Merge(reply.Rates, client.config.Clock.Now()) {
		observer.Changed(statement, logrus.Fields{"term": reply.Term})
	}
}

func encodeRate(statement permit.Statement, now time.Time) *wire.CoordRate {
	limited, isLimited := statement.Declaration.(permit.Limited)
	return &wire.CoordRate{
		Server: string(statement.Server.ID), Born: statement.Server.Incarnation, Limited: isLimited, PerSecond: limited.PerSecond,
		AgeMilliseconds: now.Sub(statement.At).Milliseconds(), SentAgeMilliseconds: now.Sub(statement.SentAt).Milliseconds(),
	}
}

func decodeRate(encoded *wire.CoordRate, now time.Time) permit.Statement {
	age := time.Duration(max(encoded.GetAgeMilliseconds(), 0)) * time.Millisecond
	sentAge := time.Duration(max(encoded.GetSentAgeMilliseconds(), encoded.GetAgeMilliseconds(), 0)) * time.Millisecond
	statement := permit.Statement{
		Server:      permit.Server{ID: names.BackendServer(encoded.GetServer()), Incarnation: encoded.GetBorn()},
		Declaration: permit.Unlimited{},
		SentAt:      now.Add(-sentAge),
		At:          now.Add(-age),
	}
	if encoded.GetLimited() {
		statement.Declaration = permit.Limited{PerSecond: encoded.GetPerSecond()}
	}
	return statement
}

func encodeRates(statements []permit.Statement, now time.Time) []*wire.CoordRate {
	encoded := make([]*wire.CoordRate, 0, len(statements))
	for _, statement := range statements {
		encoded = append(encoded, encodeRate(statement, now))
	}
	return encoded
}

func decodeRates(encoded []*wire.CoordRate, now time.Time) []permit.Statement {
	statements := make([]permit.Statement, 0, len(encoded))
	for _, each := range encoded {
		statements = append(statements, decodeRate(each, now))
	}
	return statements
}
