package hosted

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"comfreystream/coordination/archive"
	"comfreystream/coordination/intake"
	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/policy"
	"comfreystream/coordination/seat"
	"comfreystream/metrics"
	"comfreystream/platform"
	"comfreystream/protocol/peer"
	"comfreystream/protocol/record"
	"comfreystream/transport"
)

// idleTimeout is how long connections to the store and to workers are kept;
// the platform keeps its ends open for longer.
const idleTimeout = 10 * time.Second

// noSilenceLimit is for servers that send no heartbeats.
const noSilenceLimit = -1

// Instance is one running entry.
type Instance struct {
	settings atomic.Pointer[platform.Settings]
	log      zerolog.Logger
	metrics  *metrics.Metrics

	toStore   *transport.Client
	toWorkers *transport.Client
	// direct is the store without a way round through other entries.
	direct    *keyvalue.Store
	store     *keyvalue.Store
	peerStore *keyvalue.Store
	workers   *platform.Workers
	book      *policy.Watcher
	// archive is the record as callers need it, plans as the planner does.
	archive   *archive.Archive
	plans     *archive.Archive
	candidate *seat.Candidate
	term      atomic.Pointer[term]
	peers     *peer.PlannerClient
	toPeers   *transport.Client

	callers   *transport.Server
	readiness *transport.Server
	entries   *transport.Server
	// wired is set once requests can be handled.
	wired   atomic.Bool
	leaving atomic.Bool

	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup
}

// Start runs an entry; its error names the address that could not be opened.
func Start(s *platform.Settings, log zerolog.Logger) (*Instance, error) {
	i := &Instance{log: log, metrics: metrics.New()}
	i.settings.Store(s)
	i.ctx, i.cancel = context.WithCancel(context.Background())
	limits := transport.ClientLimits{IdleTimeout: idleTimeout, SilenceTimeout: noSilenceLimit}
	i.toStore, i.toWorkers = transport.NewClient(limits), transport.NewClient(limits)
	i.toPeers = transport.NewClient(transport.ClientLimits{})
	i.peers = peer.NewPlannerClient(i.toPeers)
	store := &platform.Store{Connections: i.toStore, Address: func() netip.AddrPort { return i.settings.Load().Store }}
	direct := store.Calls()
	failover := &keyvalue.Failover{
		Direct: &direct, Relay: peer.NewStoreClient(i.toPeers, i.otherPlanner).Calls(), CountRelayed: i.countRelayed, Log: log,
	}
	i.direct, i.store, i.peerStore = failover.DirectStore(), failover.Store(), failover.PeerStore()
	i.workers = &platform.Workers{Connections: i.toWorkers}
	i.book = &policy.Watcher{Store: i.store, Key: platform.PolicyKey, Decode: platform.DecodePolicy, Log: log}
	i.archive = record.NewArchive(i.store)
	i.plans = record.NewArchive(i.direct)
	if err := i.listen(s); err != nil {
		i.cancel()
		_ = i.metrics.Close()
		return nil, err
	}
	i.candidate = &seat.Candidate{
		Store: i.direct, Identity: newIdentity(i.entries.Address()), Now: seat.BootTime, AskStatus: i.askPlanner,
		StartTerm: i.beginTerm, EndTerm: i.endTerm, Log: log,
	}
	i.wired.Store(true)
	i.loops.Go(func() { i.book.Run(i.ctx) })
	i.loops.Go(func() { i.candidate.Run(i.ctx) })
	log.Info().Str("event", "entryStarted").Str("instance", s.Instance).Stringer("address", i.Callers()).
		Str("availabilityZone", s.AvailabilityZone).Send()
	return i, nil
}

// Callers returns the address that callers reach.
func (i *Instance) Callers() netip.AddrPort { return i.callers.Address() }

func (i *Instance) listen(s *platform.Settings) (err error) {
	front := &platform.Front{
		Intake: &intake.Intake{
			Policy: i.book, Archive: i.archive, Now: time.Now, Accepted: i.announce, Cancelled: i.announceCancel,
			Count: i.metrics.CountRefusal, Log: i.log,
		},
		Log:     i.log,
		Observe: i.metrics.ObserveRequest,
	}
	limits := transport.Limits{Count: i.metrics.CountConnection, Panicked: i.logPanic}
	if i.callers, err = transport.Listen(s.Callers, i.whenWired(front.Handle), limits); err != nil {
		return errors.Wrap(err, "listen for callers: free the port")
	}
	if i.readiness, err = transport.Listen(s.Readiness, platform.Ready(i.ready), limits); err != nil {
		_ = i.callers.Close()
		return errors.Wrap(err, "listen for readiness: free the port")
	}
	if i.entries, err = transport.Listen(s.Entry, i.whenWired(i.entryHandler()), limits); err != nil {
		_ = i.callers.Close()
		_ = i.readiness.Close()
		return errors.Wrap(err, "listen for entries and metrics: free the port")
	}
	return nil
}

// whenWired refuses requests that come while the instance starts.
func (i *Instance) whenWired(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if !i.wired.Load() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		handler(ctx)
	}
}

// entryHandler serves other entries and the operators' metrics.
func (i *Instance) entryHandler() fasthttp.RequestHandler {
	stand := func(ctx context.Context, term keyvalue.Revision, wait time.Duration) seat.Standing {
		return i.candidate.Status(ctx, term, wait)
	}
	forPeers := (&peer.PlannerService{Stand: stand, Accepted: i.heardAccepted, Cancelled: i.heardCancelled, Store: i.peerStore}).Handler()
	return func(ctx *fasthttp.RequestCtx) {
		switch {
		case strings.HasPrefix(string(ctx.Path()), peer.PathPrefix):
			forPeers(ctx)
		case string(ctx.Path()) == "/metrics":
			i.metrics.Page(ctx)
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
}

// ready reports whether new callers may come.
func (i *Instance) ready() bool { return !i.leaving.Load() && i.book.Current() != nil }

func (i *Instance) logPanic(err error) {
	i.log.Error().Str("event", "handlerPanicked").Err(err).Send()
}

// Reload takes over settings that changed while the process runs.
func (i *Instance) Reload(s *platform.Settings) {
	i.settings.Store(s)
	i.log.Info().Str("event", "settingsReloaded").Stringer("store", s.Store).Send()
}
