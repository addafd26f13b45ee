package proof

import (
	"flag"
	"testing"

	"github.com/onsi/ginkgo/v2"
)

const (
	// defaultSeed is used unless the command line sets another seed.
	defaultSeed    = "1"
	seedFlag       = "rapid.seed"
	noFailFileFlag = "rapid.nofailfile"
)

// Main runs the tests of a package with a fixed seed for rapid's property-based
// tests and returns the exit code. TestMain calls it; -rapid.seed on the command
// line takes precedence.
func Main(m *testing.M) int {
	flag.Parse()
	setFlagDefault(seedFlag, defaultSeed)
	setFlagDefault(noFailFileFlag, "true")
	return m.Run()
}

// Suite runs the package's ginkgo specs in a fixed order.
func Suite(t *testing.T, name string) {
	t.Helper()
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = 1
	ginkgo.RunSpecs(t, name, suite, reporter)
}

// setFlagDefault sets a flag that exists and still has its default value.
func setFlagDefault(name, value string) {
	existing := flag.Lookup(name)
	if existing == nil || existing.Value.String() != existing.DefValue {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
