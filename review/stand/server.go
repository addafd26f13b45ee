//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// server stands in for a plain backend server. A request whose body contains poison ends it
// as soon as it begins to run; it is back after downtime, with another identifier.
type server struct {
	fleet    *fleet
	service  string
	number   int
	slots    int
	address  string
	workTime time.Duration
	downtime time.Duration
	// ran is called when a request begins to run.
	ran func(server *server, request *http.Request, body string)
	// mutex guards the fields below.
	mutex sync.Mutex
	id    string
	start int
	http  *http.Server
}

// poison is what a request that crashes servers contains.
const poison = "poison"

// run starts the server for the first time.
func (server *server) run() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server.address = listener.Addr().String()
	server.serve(listener)
	return nil
}

func (server *server) serve(listener net.Listener) {
	server.mutex.Lock()
	server.start++
	server.id = fmt.Sprintf("i-%s-%02d-%02d", server.service, server.number, server.start)
	id, born := server.id, time.Now().UnixMilli()
	httpServer := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { server.handle(writer, request, id) })}
	server.http = httpServer
	server.mutex.Unlock()
	go func() { _ = httpServer.Serve(listener) }()
	go server.beat(id, born)
}

// beat registers one incarnation while it runs. Its entry expires three heartbeats after
// the last one.
func (server *server) beat(id string, born int64) {
	key := "servers/" + id
	for seq := int64(0); ; seq++ {
		if server.currentID() != id {
			time.Sleep(2 * heartbeat)
			server.fleet.store.put(key, nil)
			return
		}
		server.fleet.store.put(key, map[string]any{
			"service": server.service, "address": server.address, "zone": "zone-a", "version": "v1", "slots": server.slots, "state": "ready", "coldLeftMs": 0, "born": born, "seq": seq,
		})
		time.Sleep(heartbeat)
	}
}

func (server *server) currentID() string {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.id
}

// crash ends an incarnation with all its connections.
func (server *server) crash(id string) {
	server.mutex.Lock()
	if server.id != id {
		server.mutex.Unlock()
		return
	}
	server.id = ""
	httpServer := server.http
	server.mutex.Unlock()
	httpServer.Close()
	time.AfterFunc(server.downtime, func() {
		for {
			listener, err := net.Listen("tcp", server.address)
			if err == nil {
				server.serve(listener)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

func (server *server) handle(writer http.ResponseWriter, request *http.Request, id string) {
	header := writer.Header()
	header.Set("X-Instance-Id", id)
	if request.URL.Path == "/healthz" {
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	header.Set("X-Attempt-Id", request.Header.Get("X-Attempt-Id"))
	if request.Header.Get("X-Expect-Instance") != id {
		header.Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	server.ran(server, request, string(body))
	if strings.Contains(string(body), poison) {
		server.crash(id)
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(server.workTime):
	case <-request.Context().Done():
		return
	}
	header.Set("X-Server-Stamp", id)
	_, _ = io.WriteString(writer, "done "+request.Header.Get("X-Attempt-Id"))
}
