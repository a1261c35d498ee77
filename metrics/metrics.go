package metrics

import (
	"comfreystream/coordination/rollout"
	"comfreystream/coordination/storage"
	"comfreystream/protocol/gossip"
	"comfreystream/state"
	"comfreystream/transport"
	"io"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
)

// reportInterval is how old a value on the page may be.
const reportInterval = time.Second

// unlisted takes the counts of reasons that are in no list, so that a peer's
// words cannot make the page grow.
const unlisted = "unlisted"

// Metrics holds an entry's counters; it is safe for several goroutines.
type Metrics struct {
	// Root is where other packages' gauges and timers belong.
	Root tally.Scope

	refusals    map[state.Reason]tally.Counter
	retries     map[state.Reason]tally.Counter
	answers     map[state.Reason]tally.Counter
	connections map[string]tally.Counter
	datagrams   map[string]tally.Counter
	storeCalls  map[storeCall]tally.Counter
	rollouts    map[rollout.Event]tally.Counter
	page        fasthttp.RequestHandler
	closer      io.Closer
}

// New returns metrics in which each reason stands at 0.
func New() *Metrics {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry, Gatherer: registry, OnRegisterError: func(error) {},
	})
	root, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "comfreystream", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{
		Root:        root,
		refusals:    counters(root, "refusals_total", state.Reasons),
		retries:     counters(root, "retries_total", state.Reasons),
		answers:     counters(root, "failed_answers_total", state.Reasons),
		connections: counters(root, "transport_refusals_total", transport.Reasons),
		datagrams:   counters(root, "datagram_refusals_total", gossip.Reasons),
		storeCalls:  storeCounters(root),
		rollouts:    counters(root, "rollout_events_total", rollout.Events),
		page:        transport.Adapt(reporter.HTTPHandler()),
		closer:      closer,
	}
}

// CountRefusal counts a refusal or a failed job.
func (m *Metrics) CountRefusal(reason state.Reason) { count(m.refusals, reason) }

// CountRetry counts an attempt that was repeated or given up.
func (m *Metrics) CountRetry(reason state.Reason) { count(m.retries, reason) }

// CountAnswer counts an answer to a caller that is not a success.
func (m *Metrics) CountAnswer(reason state.Reason) { count(m.answers, reason) }

// CountConnection counts a request or a connection that the transport refused.
func (m *Metrics) CountConnection(reason string) { count(m.connections, reason) }

// CountDatagram counts a datagram that was dropped.
func (m *Metrics) CountDatagram(reason string) { count(m.datagrams, reason) }

// CountStoreCall counts a call to the store by its purpose and how it ended.
func (m *Metrics) CountStoreCall(purpose storage.Purpose, result storage.Result) {
	count(m.storeCalls, storeCall{purpose, result})
}

// CountRollout counts an event of the manifest's rollout.
func (m *Metrics) CountRollout(event rollout.Event) { count(m.rollouts, event) }

// Page answers with all values, at most a second old.
func (m *Metrics) Page(ctx *fasthttp.RequestCtx) { m.page(ctx) }

// Close writes the last values to the page and waits for the reporting to end.
func (m *Metrics) Close() error { return m.closer.Close() }

func counters[Reason ~string](root tally.Scope, name string, reasons []Reason) map[Reason]tally.Counter {
	all := make(map[Reason]tally.Counter, len(reasons)+1)
	for _, reason := range reasons {
		counter := root.Tagged(map[string]string{"reason": string(reason)}).Counter(name)
		counter.Inc(0)
		all[reason] = counter
	}
	all[""] = root.Tagged(map[string]string{"reason": unlisted}).Counter(name)
	all[""].Inc(0)
	return all
}

func count[Key comparable](all map[Key]tally.Counter, key Key) {
	counter, listed := all[key]
	if !listed {
		var other Key
		counter = all[other]
	}
	counter.Inc(1)
}

// storeCall is what calls to the store are told apart by.
type storeCall struct {
	purpose storage.Purpose
	result  storage.Result
}

func storeCounters(root tally.Scope) map[storeCall]tally.Counter {
	all := make(map[storeCall]tally.Counter)
	for _, purpose := range storage.Purposes {
		for _, result := range storage.Results {
			tags := map[string]string{"purpose": purpose.String(), "result": string(result)}
			counter := root.Tagged(tags).Counter("store_calls_total")
			counter.Inc(0)
			all[storeCall{purpose, result}] = counter
		}
	}
	all[storeCall{}] = root.Tagged(map[string]string{"purpose": unlisted, "result": unlisted}).Counter("store_calls_total")
	return all
}
