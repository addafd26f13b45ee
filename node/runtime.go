package node

import (
	"runtime/metrics"

	gometrics "github.com/rcrowley/go-metrics"
)

// runtimeGauges maps names of gauges to metrics of the Go runtime.
var runtimeGauges = []struct {
	gauge  string
	sample string
}{
	{"process.allocatedBytes", "/gc/heap/allocs:bytes"},
	{"process.heapBytes", "/memory/classes/heap/objects:bytes"},
	{"process.goroutines", "/sched/goroutines:goroutines"},
}

// registerRuntime registers the gauges of the Go runtime.
func registerRuntime(registry gometrics.Registry) {
	for _, each := range runtimeGauges {
		gometrics.NewRegisteredFunctionalGauge(each.gauge, registry, func() int64 {
			samples := []metrics.Sample{{Name: each.sample}}
			metrics.Read(samples)
			if samples[0].Value.Kind() != metrics.KindUint64 {
				return 0
			}
			return int64(samples[0].Value.Uint64())
		})
	}
}
