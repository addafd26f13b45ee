package trial

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"syscall"
)

// The ports between firstPort and lastPort are below those that the kernel assigns
// to outgoing connections (32768 and up). Otherwise a connection could take a port
// before the process that is to listen on it starts.
const (
	firstPort = 20000
	lastPort  = 32000
)

// allocatedPorts is the set of ports that freeAddress has returned or tried.
var allocatedPorts sync.Map

// freeAddress returns an address on the loopback interface that no process listens
// on and that it hasn't returned before.
func freeAddress(ctx context.Context) (string, error) {
	var listenConfig net.ListenConfig
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if _, taken := allocatedPorts.LoadOrStore(port, true); taken {
			continue
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		listener, err := listenConfig.Listen(ctx, "tcp", address)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return "", err
		}
		return address, listener.Close()
	}
}
