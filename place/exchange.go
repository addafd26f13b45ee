package place

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/basilkeel/basilkeel/config"
	"github.com/basilkeel/basilkeel/fleet"
	"github.com/basilkeel/basilkeel/ledger"
	"github.com/basilkeel/basilkeel/names"
	"github.com/basilkeel/basilkeel/wire"
)

// Register registers the Placement service of the controller at server.
func (controller *Controller) Register(server *grpc.Server) {
	wire.RegisterPlacementServer(server, &placementServer{controller: controller})
}

type placementServer struct {
	wire.UnimplementedPlacementServer
	controller *Controller
}

// Exchange implements [wire.PlacementServer].
func (placementServer *placementServer) Exchange(_ context.Context, request *wire.PlaceExchange) (*wire.PlaceNews, error) {
	return placementServer.controller.exchange(request), nil
}

// exchange stores the reports in request and returns the targets that changed
// since the plan known to the sender. Without the lease it returns an empty
// message.
func (controller *Controller) exchange(request *wire.PlaceExchange) *wire.PlaceNews {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	// The clock is read while mu is held, so that a wait for mu can't make an
	// ended lease look valid.
	now := controller.config.Clock.Now()
	if !controller.lease.valid(now) || controller.plan == nil {
		return &wire.PlaceNews{}
	}
	if window := time.Duration(request.GetWindowMicros()) * time.Microsecond; window > 0 {
		controller.demandReports[names.Instance(request.GetInstance())] = demandReport{at: now, window: window, message: request}
	}
	known := Version(request.GetKnown())
	if status := request.GetStatus(); status != nil {
		resend := !controller.storeStatus(now, status)
		news := controller.agentNews(names.BackendServer(status.GetServer()), known)
		news.Resend = resend
		return news
	}
	whole := known < controller.removedVersion
	var targets []Target
	for _, target := range controller.plan.Targets() {
		if whole || target.Changed > known {
			targets = append(targets, target)
		}
	}
	return &wire.PlaceNews{Held: true, Whole: whole, Plan: encodePlan(controller.plan, targets)}
}

// storeStatus stores an agent's status and reports whether the content of the
// status is known. It is not if the agent sent only a hash, and no status with
// the same hash is stored. The caller holds mu.
func (controller *Controller) storeStatus(now time.Time, status *wire.PlaceStatus) bool {
	server := names.BackendServer(status.GetServer())
	if !status.GetUnchanged() {
		controller.statusReports[server] = statusReport{server: decodeServer(now, status), content: status.GetContent()}
		return true
	}
	report, found := controller.statusReports[server]
	if !found || report.content != status.GetContent() {
		return false
	}
	report.server.Applied = Version(status.GetApplied())
	report.server.ReportedAt = now.Add(-time.Duration(status.GetAgeMicros()) * time.Microsecond)
	controller.statusReports[server] = report
	return true
}

// agentNews returns the response to an agent: the target of its server if that
// changed since the plan known to the agent. The caller holds mu.
func (controller *Controller) agentNews(server names.BackendServer, known Version) *wire.PlaceNews {
	var targets []Target
	if target, found := controller.plan.Target(server); found && target.Changed > known {
		targets = append(targets, target)
	}
	return &wire.PlaceNews{Held: true, Plan: encodePlan(controller.plan, targets)}
}

func decodeServer(now time.Time, status *wire.PlaceStatus) Server {
	server := Server{
		Name: names.BackendServer(status.GetServer()), Applied: Version(status.GetApplied()),
		ReportedAt:  now.Add(-time.Duration(status.GetAgeMicros()) * time.Microsecond),
		MemoryBytes: status.GetMemoryBytes(), TokensPerSecond: status.GetTokensPerSecond(),
	}
	for _, item := range status.GetReserved() {
		server.Reserved = append(server.Reserved, decodeItem(item))
	}
	for _, index := range status.GetUsable() {
		if int(index) < len(server.Reserved) {
			server.Usable = append(server.Usable, server.Reserved[index].Item)
		}
	}
	return server
}

// encodeStatus encodes server, with the age of its report at now.
func encodeStatus(now time.Time, server Server) *wire.PlaceStatus {
	status := &wire.PlaceStatus{
		Server: string(server.Name), Applied: int64(server.Applied),
		AgeMicros: now.Sub(server.ReportedAt).Microseconds(), MemoryBytes: server.MemoryBytes,
		TokensPerSecond: server.TokensPerSecond,
	}
	usable := make(map[ledger.Item]bool, len(server.Usable))
	for _, item := range server.Usable {
		usable[item] = true
	}
	for i, weights := range server.Reserved {
		status.Reserved = append(status.Reserved, encodeItem(weights))
		if usable[weights.Item] {
			status.Usable = append(status.Usable, uint32(i))
		}
	}
	return status
}

// abbreviateStatus sets the hash of the status's content. It returns status, or
// an abbreviated status without the content if the lease holder has
// acknowledged the same hash.
func abbreviateStatus(status *wire.PlaceStatus, acknowledged uint64) (*wire.PlaceStatus, error) {
	content := &wire.PlaceStatus{
		MemoryBytes: status.GetMemoryBytes(), TokensPerSecond: status.GetTokensPerSecond(),
		Reserved: status.GetReserved(), Usable: status.GetUsable(),
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(content)
	if err != nil {
		return nil, &CodecError{Part: "status", Cause: err}
	}
	status.Content = xxhash.Sum64(data)
	if status.GetContent() != acknowledged {
		return status, nil
	}
	return &wire.PlaceStatus{
		Server: status.GetServer(), Applied: status.GetApplied(), AgeMicros: status.GetAgeMicros(),
		Content: status.GetContent(), Unchanged: true,
	}, nil
}

// plannerInput returns the input of a planner step. It deletes outdated demand
// reports and the reports of servers that are no longer listed.
func (controller *Controller) plannerInput(now time.Time, snapshot *config.Snapshot) Input {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	for instance, report := range controller.demandReports {
		if now.Sub(report.at) > maxDemandAge {
			delete(controller.demandReports, instance)
		}
	}
	input := Input{Models: snapshot.Models(), Demands: sumDemands(controller.demandReports)}
	listed := map[names.BackendServer]bool{}
	for _, member := range controller.config.Fleet.Current().ByRole(fleet.RoleAgent) {
		if member.Service() != "" || listed[member.Server()] {
			continue
		}
		listed[member.Server()] = true
		server := controller.statusReports[member.Server()].server
		server.Name, server.Domain = member.Server(), member.Domain()
		server.Leaving = member.State() == fleet.StateLeaving
		input.Servers = append(input.Servers, server)
	}
	for server := range controller.statusReports {
		if !listed[server] {
			delete(controller.statusReports, server)
		}
	}
	return input
}
