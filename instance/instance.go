package instance

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"comfreystream/coordination/dispatch"
	"comfreystream/coordination/front"
	"comfreystream/coordination/lease"
	"comfreystream/coordination/membership"
	"comfreystream/coordination/rollout"
	"comfreystream/coordination/storage"
	"comfreystream/metrics"
	"comfreystream/protocol/caller"
	"comfreystream/protocol/gossip"
	"comfreystream/protocol/instancelist"
	"comfreystream/protocol/peer"
	"comfreystream/settings"
	"comfreystream/state"
	"comfreystream/transport"
)

// Instance is one running entry.
type Instance struct {
	network  Network
	settings *settings.Settings
	log      zerolog.Logger
	metrics  *metrics.Metrics
	started  time.Time

	server      *transport.Server
	endpoint    *gossip.Endpoint
	connections *transport.Client
	peers       *peer.Client

	members     *membership.Members
	storage     *storage.Storage
	rollout     *rollout.Rollout
	keeper      *lease.Keeper
	plannerRole *dispatch.PlannerRole
	front       *front.Front
	list        *listing

	handler     atomic.Pointer[fasthttp.RequestHandler]
	roleUpdates chan struct{}
	// lastPlanner is used only by the goroutine that runs runRoles.
	lastPlanner netip.AddrPort
	// draining is cancelled by beginDrain to end the waits of callers; drained
	// is closed once the drain is complete.
	draining   context.Context
	beginDrain context.CancelFunc
	leaving    atomic.Bool
	drainOnce  sync.Once
	drained    chan struct{}
	ctx        context.Context
	cancel     context.CancelFunc
	loops      sync.WaitGroup
}

// Start starts an entry with validated settings. Its error names the address
// that could not be opened; nothing keeps running after an error.
func Start(s *settings.Settings, log zerolog.Logger) (*Instance, error) {
	return StartWithNetwork(Network{}, s, log)
}

// StartWithNetwork is like Start, but uses the given network, which may inject faults.
func StartWithNetwork(network Network, s *settings.Settings, log zerolog.Logger) (*Instance, error) {
	i := &Instance{
		network: network, settings: s, log: log, metrics: metrics.New(), started: time.Now(),
		roleUpdates: make(chan struct{}, 1), drained: make(chan struct{}),
	}
	i.ctx, i.cancel = context.WithCancel(context.Background())
	i.draining, i.beginDrain = context.WithCancel(context.Background())
	if err := i.listen(); err != nil {
		_ = i.metrics.Close()
		return nil, err
	}
	i.connect()
	i.wire()
	i.run()
	i.log.Info().Str("event", "entryStarted").Stringer("address", i.Address()).
		Str("availabilityZone", s.AvailabilityZone).Send()
	return i, nil
}

// Address returns the address on which the entry listens over TCP and UDP.
func (i *Instance) Address() netip.AddrPort { return i.server.Address() }

// listen opens the entry's TCP port and the UDP port of the same number.
func (i *Instance) listen() (err error) {
	i.server, err = transport.Listen(i.settings.Address, i.handle, transport.Limits{
		BodyBytes: i.settings.BodyBytes, Connections: i.maxConnections(), Budget: i.newBudget(), SocketBytes: socketBytes,
		Count: i.metrics.CountTransportRefusal, WriteRefusal: caller.Refuse, OnPanic: i.logPanic,
	})
	if err != nil {
		return errors.Wrapf(err, "listen on %s: change \"address\" in the settings or free the port", i.settings.Address)
	}
	i.endpoint, err = gossip.Listen(i.server.Address(), i.metrics.CountDroppedDatagram)
	if err != nil {
		_ = i.server.Close()
		return errors.Wrapf(err, "listen for membership on %s over UDP: change \"address\" in the settings or free the port", i.server.Address())
	}
	return nil
}

func (i *Instance) logPanic(err error) {
	i.log.Error().Str("event", "handlerPanicked").Str("error", fmt.Sprintf("%+v", err)).Send()
}

// connect creates the clients for the other entries and for the instance list.
func (i *Instance) connect() {
	i.connections = transport.NewClient(transport.ClientLimits{})
	i.connections.Dial = i.network.Dial
	i.peers = peer.NewClient(i.connections)
	i.list = newListing(&instancelist.Client{Connections: i.connections, Peer: i.settings.InstanceList})
}

// wire creates the coordination components and connects them to the protocols.
func (i *Instance) wire() {
	i.members = membership.New(state.Member{
		Address: i.Address(), Gossip: i.Address(), AvailabilityZone: i.settings.AvailabilityZone,
		Incarnation: state.IncarnationAt(i.started),
	}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	i.members.OnChange = i.requestRoleUpdate
	i.members.Seed(i.settings.Seeds)
	i.endpoint.Serve(i.members)
	i.members.Send = i.network.filterDatagrams(i.members.Send)
	i.storage = i.newStorage()
	i.rollout = i.newRollout()
	i.members.OnAdvert = func(m state.Member) { i.rollout.HandleAdvert(m.Address, m.Advert.Generation, m.Advert.Digest) }
	i.keeper = i.newKeeper()
	i.plannerRole = &dispatch.PlannerRole{New: i.newDispatcher}
	i.front = i.newFront()
	handler := i.routes()
	i.handler.Store(&handler)
}

// run starts the entry's background goroutines.
func (i *Instance) run() {
	i.loops.Go(func() { i.members.Run(i.ctx) })
	i.loops.Go(i.runRollout)
	i.loops.Go(func() { i.list.run(i.ctx, i.listChanged) })
	i.loops.Go(i.runRoles)
}

// handle passes a request to the routes; it refuses requests that arrive
// before wire has set them.
func (i *Instance) handle(ctx *fasthttp.RequestCtx) {
	handler := i.handler.Load()
	if handler == nil {
		caller.Refuse(&ctx.Response, string(state.Draining))
		return
	}
	(*handler)(ctx)
}

// routes returns the handler that separates the calls of other entries from
// those of callers and operators.
func (i *Instance) routes() fasthttp.RequestHandler {
	peerHandler := i.peerService().Handler()
	callerHandler := i.callerService().Handler()
	return func(ctx *fasthttp.RequestCtx) {
		if isPeerPath(ctx.Path()) {
			peerHandler(ctx)
			return
		}
		callerHandler(ctx)
	}
}

func isPeerPath(path []byte) bool {
	return len(path) >= len(peer.PathPrefix) && string(path[:len(peer.PathPrefix)]) == peer.PathPrefix
}

// AvailabilityZone returns the entry's availability zone.
func (i *Instance) AvailabilityZone() string { return i.settings.AvailabilityZone }
