package trial_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/basilkeel/basilkeel/proof"
	"github.com/basilkeel/basilkeel/trial"
)

// programs is the directory of the programs under test, which are built once.
var programs string

func TestMain(m *testing.M) { os.Exit(proof.Main(m)) }

func TestTrial(t *testing.T) {
	RegisterFailHandler(Fail)
	programs = t.TempDir()
	build := exec.Command("go", "build", "-race", "-o", programs+"/", "../cmd/...")
	output, err := build.CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v: %s", err, output)
	}
	proof.Suite(t, "trial")
}

// startCluster starts a fleet. At the end of the spec it stops the fleet and expects
// no data races in the logs of its processes.
func startCluster(ctx SpecContext, config trial.Config) *trial.Cluster {
	config.Basilkeel = filepath.Join(programs, "basilkeel")
	config.Standin = filepath.Join(programs, "standin")
	config.Directory = GinkgoT().TempDir()
	cluster := trial.NewCluster(config)
	DeferCleanup(func() {
		cluster.Stop()
		expectNoRaces(config.Directory)
	})
	Expect(cluster.Start(ctx)).To(Succeed())
	return cluster
}

func expectNoRaces(directory string) {
	logs, err := filepath.Glob(filepath.Join(directory, "*.log"))
	Expect(err).NotTo(HaveOccurred())
	for _, path := range logs {
		content, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(content)).NotTo(ContainSubstring("DATA RACE"), path)
	}
}
