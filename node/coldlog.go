package node

import (
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/event"
	"github.com/basilkeel/basilkeel/permit"
)

// coldServersMetric is the gauge of the servers that are cold, and coldIgnoredMetric the
// counter of stated cold times that cannot be one.
const (
	coldServersMetric = "permit.coldServers"
	coldIgnoredMetric = "permit.coldTimesIgnored"
)

// coldLog logs which servers become cold and warm. It is not safe for concurrent use.
type coldLog struct {
	registry metrics.Registry
	log      logrus.FieldLogger
	cold     map[permit.Server]float64
}

func newColdLog(registry metrics.Registry, log logrus.FieldLogger) *coldLog {
	return &coldLog{registry: registry, log: log, cold: map[permit.Server]float64{}}
}

// update logs the changes to the servers that are cold now, with their rates.
func (coldLog *coldLog) update(cold map[permit.Server]float64) {
	for server, perSecond := range cold {
		if _, known := coldLog.cold[server]; !known {
			event.ServerCold.Log(coldLog.log, logrus.Fields{"server": string(server.ID), "born": server.Incarnation, "perSecond": perSecond})
		}
	}
	for server := range coldLog.cold {
		if _, still := cold[server]; !still {
			event.ServerWarm.Log(coldLog.log, logrus.Fields{"server": string(server.ID), "born": server.Incarnation})
		}
	}
	coldLog.cold = cold
	metrics.GetOrRegisterGauge(coldServersMetric, coldLog.registry).Update(int64(len(cold)))
}
