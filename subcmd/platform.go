package subcmd

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/basilkeel/basilkeel/stand"
)

// platformCommand simulates the platform: its key-value service, instance list and
// weight store.
type platformCommand struct {
	keyValue       string
	control        string
	listLag        time.Duration
	loadsPerSecond float64
	loadsAtOnce    int
	adaptersAtOnce int
}

func (*platformCommand) name() string { return "platform" }

func (*platformCommand) summary() string { return "simulate the platform" }

func (*platformCommand) help() string {
	return `Platform serves the key-value service over gRPC. Over HTTP it serves the instance
list at /list/instances and the weight store at /weights/loads; the faults and
counters of the three are at /kv/, /list/ and /weights/.`
}

func (command *platformCommand) flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "key-value", Value: "127.0.0.1:7000", Usage: "address of the key-value service", Destination: &command.keyValue},
		&cli.StringFlag{Name: "control", Value: "127.0.0.1:7001", Usage: "address of the HTTP services", Destination: &command.control},
		&cli.DurationFlag{Name: "list-lag", Usage: "delay until a change of the instance list is visible", Destination: &command.listLag},
		&cli.FloatFlag{Name: "loads-per-second", Usage: "model loads a second; 0 means 2", Destination: &command.loadsPerSecond},
		&cli.IntFlag{Name: "loads-at-once", Usage: "model loads at full speed; 0 means 3", Destination: &command.loadsAtOnce},
		&cli.IntFlag{Name: "adapters-at-once", Usage: "adapter loads at full speed; 0 means 25", Destination: &command.adaptersAtOnce},
	}
}

func (command *platformCommand) run(ctx context.Context, _ []string) error {
	keyValue := stand.NewKV(stand.KVConfig{})
	instanceListService := stand.NewInstanceListService(stand.InstanceListServiceConfig{Lag: command.listLag})
	weightStore := stand.NewWeightStore(stand.WeightStoreConfig{
		LoadsPerSecond: command.loadsPerSecond, ConcurrentLoads: command.loadsAtOnce, ConcurrentAdapterLoads: command.adaptersAtOnce,
	})
	router := http.NewServeMux()
	router.Handle("/kv/", http.StripPrefix("/kv", keyValue.Control()))
	router.Handle("/list/", http.StripPrefix("/list", instanceListService.Control()))
	router.Handle("/weights/", http.StripPrefix("/weights", weightStore.Control()))
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp", command.keyValue)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return keyValue.Serve(ctx, listener) })
	group.Go(func() error { return serveUntilDone(ctx, command.control, router) })
	return group.Wait()
}
