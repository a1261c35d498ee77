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

	"comfreystream/coordination/backlog"
	"comfreystream/coordination/election"
	"comfreystream/coordination/intake"
	"comfreystream/coordination/interference"
	"comfreystream/coordination/jobstore"
	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/modelstore"
	"comfreystream/coordination/policy"
	"comfreystream/coordination/speed"
	"comfreystream/metrics"
	"comfreystream/platform"
	"comfreystream/protocol/peer"
	"comfreystream/protocol/record"
	"comfreystream/transport"
)

// idleTimeout is how long idle connections to the store and to workers are kept; it
// is shorter than the platform's, so that the platform does not close them first.
const idleTimeout = 10 * time.Second

// noSilenceTimeout disables the silence timeout, as the platform's servers send no
// heartbeats.
const noSilenceTimeout = -1

// Instance is a running entry on the hosting platform.
type Instance struct {
	settings atomic.Pointer[platform.Settings]
	log      zerolog.Logger
	metrics  *metrics.Metrics
	budget   *transport.Budget
	refusals refusalLog

	storeClient  *transport.Client
	workerClient *transport.Client
	// directStore never relays calls through another entry, store does so when
	// needed, and peerStore serves calls that other entries relay.
	directStore *keyvalue.Store
	store       *keyvalue.Store
	peerStore   *keyvalue.Store
	workers     *platform.Workers
	policy      *policy.Watcher
	// jobStore uses store and serves callers; plannerJobStore uses directStore and
	// serves the planner.
	jobStore        *jobstore.Store
	plannerJobStore *jobstore.Store
	speedStore      *speed.Store
	gate            *backlog.Gate
	// interferenceStore keeps the slowdowns of kinds beside each other.
	interferenceStore *modelstore.Store[interference.PairEstimate]
	candidate         *election.Candidate
	term              atomic.Pointer[term]
	plannerClient     *peer.PlannerClient
	peerClient        *transport.Client

	callerServer    *transport.Server
	readinessServer *transport.Server
	entryServer     *transport.Server
	// initialised is set once requests can be handled; draining is set by Close.
	initialised atomic.Bool
	draining    atomic.Bool

	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup
}

// Start starts an entry; its error says for which purpose an address could not be
// listened on.
func Start(s *platform.Settings, log zerolog.Logger) (*Instance, error) {
	i := &Instance{log: log, metrics: metrics.New(), budget: newBudget(s, budgetShare)}
	i.settings.Store(s)
	i.ctx, i.cancel = context.WithCancel(context.Background())
	storeLimits, workerLimits := clientLimits(s)
	i.storeClient, i.workerClient = transport.NewClient(storeLimits), transport.NewClient(workerLimits)
	i.peerClient = transport.NewClient(transport.ClientLimits{})
	i.plannerClient = peer.NewPlannerClient(i.peerClient)
	store := &platform.Store{Connections: i.storeClient, Address: func() netip.AddrPort { return i.settings.Load().Store }}
	direct := store.Calls()
	relays := &keyvalue.Relays{Planner: i.remotePlanner, Others: i.seeds, Now: time.Now}
	failover := &keyvalue.Failover{
		Direct: &direct, Relay: peer.NewStoreClient(i.peerClient, relays).Store(), CountRelayed: i.countRelayed, Log: log,
	}
	i.directStore, i.store, i.peerStore = failover.DirectStore(), failover.Store(), failover.PeerStore()
	i.workers = &platform.Workers{Connections: i.workerClient}
	i.policy = &policy.Watcher{Store: i.store, Key: platform.PolicyKey, Decode: platform.DecodePolicy, Changed: i.policyChanged, Log: log}
	valueBytes := func() int { return i.settings.Load().StoreValueBytes }
	i.jobStore = record.NewJobStore(i.store, valueBytes)
	i.plannerJobStore = record.NewJobStore(i.directStore, valueBytes)
	i.speedStore = record.NewSpeedStore(i.directStore, valueBytes)
	i.plannerJobStore.IDStarts = platform.JobIDStarts
	i.gate = &backlog.Gate{Read: i.jobStore.Pending, Now: time.Now, Guarantee: i.guarantee, Refused: i.notifyRefused, Log: log}
	i.interferenceStore = record.NewInterferenceStore(i.directStore, valueBytes)
	if err := i.listen(s); err != nil {
		i.cancel()
		_ = i.metrics.Close()
		return nil, err
	}
	i.candidate = &election.Candidate{
		Store: i.directStore, Identity: newIdentity(i.entryServer.Address()), Cores: s.Cores, Now: election.BootTime, AskStatus: i.askPlanner,
		StartTerm: i.beginTerm, EndTerm: i.endTerm, Log: log,
	}
	i.initialised.Store(true)
	i.loops.Go(func() { i.policy.Run(i.ctx) })
	i.loops.Go(func() { i.candidate.Run(i.ctx) })
	i.loops.Go(func() { i.gate.Run(i.ctx) })
	log.Info().Str("event", "entryStarted").Str("instance", s.Instance).Stringer("address", i.Callers()).
		Str("availabilityZone", s.AvailabilityZone).Send()
	return i, nil
}

// Callers returns the address that serves callers.
func (i *Instance) Callers() netip.AddrPort { return i.callerServer.Address() }

func (i *Instance) listen(s *platform.Settings) (err error) {
	front := &platform.CallerHandler{
		Intake: &intake.Intake{
			Policy: i.policy, JobStore: i.jobStore, Now: time.Now, Accepted: i.notifyAccepted, Cancelled: i.notifyCancelled,
			Count: i.metrics.CountRefusal, Gate: i.gate, Log: i.log,
		},
		Decoding: platform.NewDecoding(s.MemoryBytes / budgetShare),
		Log:      i.log,
		Observe:  i.metrics.ObserveRequest,
	}
	callers, readiness, entries := i.serverLimits(s)
	if i.callerServer, err = transport.Listen(s.Callers, i.whenInitialised(front.Handle), callers); err != nil {
		return errors.Wrap(err, "listen for callers: free the port")
	}
	if i.readinessServer, err = transport.Listen(s.Readiness, platform.ReadinessHandler(i.ready), readiness); err != nil {
		_ = i.callerServer.Close()
		return errors.Wrap(err, "listen for readiness: free the port")
	}
	if i.entryServer, err = transport.Listen(s.Entry, i.whenInitialised(i.entryHandler()), entries); err != nil {
		_ = i.callerServer.Close()
		_ = i.readinessServer.Close()
		return errors.Wrap(err, "listen for entries and metrics: free the port")
	}
	return nil
}

// whenInitialised answers requests during the start with 503.
func (i *Instance) whenInitialised(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if !i.initialised.Load() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		handler(ctx)
	}
}

// entryHandler serves other entries and the metrics.
func (i *Instance) entryHandler() fasthttp.RequestHandler {
	status := func(ctx context.Context, request election.StatusRequest) election.TermStatus {
		return i.candidate.Status(ctx, request)
	}
	forPeers := (&peer.PlannerService{
		TermStatus: status, NotifyAccepted: i.handleAccepted, NotifyCancelled: i.handleCancelled, NotifyRefused: i.handleRefused,
		Store: i.peerStore,
	}).Handler()
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

// ready reports whether the platform may route callers to this instance.
func (i *Instance) ready() bool { return !i.draining.Load() && i.policy.Current() != nil }

func (i *Instance) logPanic(err error) {
	i.log.Error().Str("event", "handlerPanicked").Err(err).Send()
}

// Reload replaces the settings; addresses that are listened on do not change.
func (i *Instance) Reload(s *platform.Settings) {
	i.settings.Store(s)
	i.log.Info().Str("event", "settingsReloaded").Stringer("store", s.Store).Send()
}
