package node

import (
	stdlog "log"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus/hooks/test"
)

func TestFaultsOfConnectionsAreLogged(t *testing.T) {
	g := NewWithT(t)
	log, logged := test.NewNullLogger()
	stdlog.New(httpErrorWriter{log: log}, "", 0).Print("http: Accept error: too many open files")
	g.Expect(logged.LastEntry().Message).To(Equal("connectionFault"))
	g.Expect(logged.LastEntry().Data["cause"]).To(Equal("http: Accept error: too many open files"))
}
