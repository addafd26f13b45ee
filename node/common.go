package node

import (
	"os"

	"github.com/google/uuid"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/basilkeel/basilkeel/clock"
	"github.com/basilkeel/basilkeel/ident"
	"github.com/basilkeel/basilkeel/setup"
)

func newClock() *clock.Service { return clock.NewService(clock.ServiceConfig{}) }

func newMetrics() metrics.Registry {
	registry := metrics.NewRegistry()
	registerRuntime(registry)
	return registry
}

func newLogger(process *setup.Process) (logrus.FieldLogger, error) {
	level, err := logrus.ParseLevel(process.LogLevel)
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.JSONFormatter{})
	logger.SetOutput(os.Stderr)
	logger.AddHook(ident.Redactor{})
	return logger.WithField("instance", process.Instance), nil
}

// nameInstance generates an instance identifier if the settings contain none.
func nameInstance(process *setup.Process) {
	if process.Instance == "" {
		process.Instance = uuid.NewString()
	}
}
