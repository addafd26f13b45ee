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

// firstPort to lastPort lie below the ports that the kernel gives to outgoing
// connections (32768 on), which may take one before its process listens there.
const (
	firstPort = 20000
	lastPort  = 32000
)

// allocatedPorts are the ports that this process has given away.
var allocatedPorts sync.Map

// freeAddress returns an address on the loopback interface that nothing listens
// on and that it has not returned before.
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
