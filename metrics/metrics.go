package metrics

import (
	"io"
	"strconv"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"

	"comfreystream/coordination/rollout"
	"comfreystream/coordination/scheduling"
	"comfreystream/coordination/storage"
	"comfreystream/protocol/gossip"
	"comfreystream/state"
	"comfreystream/transport"
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

	refusals    family[state.Reason]
	retries     family[state.Reason]
	answers     family[state.Reason]
	connections family[string]
	datagrams   family[string]
	storeCalls  family[storeCall]
	rollouts    family[rollout.Event]
	planner     family[string]
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
		refusals:    reasonFamily(root, "refusals_total", state.Reasons),
		retries:     reasonFamily(root, "retries_total", state.Reasons),
		answers:     reasonFamily(root, "failed_answers_total", state.Reasons),
		connections: reasonFamily(root, "transport_refusals_total", transport.Reasons),
		datagrams:   reasonFamily(root, "datagram_refusals_total", gossip.Reasons),
		storeCalls:  storeFamily(root),
		rollouts:    reasonFamily(root, "rollout_events_total", rollout.Events),
		planner:     reasonFamily(root, "planner_events_total", scheduling.Events),
		page:        transport.Adapt(reporter.HTTPHandler()),
		closer:      closer,
	}
}

// CountRefusal counts a refusal or a failed job.
func (m *Metrics) CountRefusal(reason state.Reason) { m.refusals.count(reason) }

// CountRetry counts an attempt that was repeated or given up.
func (m *Metrics) CountRetry(reason state.Reason) { m.retries.count(reason) }

// CountAnswer counts an answer to a caller that is not a success.
func (m *Metrics) CountAnswer(reason state.Reason) { m.answers.count(reason) }

// CountConnection counts a request or a connection that the transport refused.
func (m *Metrics) CountConnection(reason string) { m.connections.count(reason) }

// CountDatagram counts a datagram that was dropped.
func (m *Metrics) CountDatagram(reason string) { m.datagrams.count(reason) }

// CountStoreCall counts a call to the store by its purpose and how it ended.
func (m *Metrics) CountStoreCall(purpose storage.Purpose, result storage.Result) {
	m.storeCalls.count(storeCall{purpose, result})
}

// CountRollout counts an event of the manifest's rollout.
func (m *Metrics) CountRollout(event rollout.Event) { m.rollouts.count(event) }

// CountPlanner counts an event of the planner of a term.
func (m *Metrics) CountPlanner(event string) { m.planner.count(event) }

// ObserveRequest records how long a caller's request took, by method and status.
func (m *Metrics) ObserveRequest(method string, status int, took time.Duration) {
	tags := map[string]string{"method": method, "status": strconv.Itoa(status)}
	m.Root.Tagged(tags).Histogram("request_seconds", requestBuckets).RecordDuration(took)
}

// requestBuckets are the upper bounds of the latency histogram, from 1 ms to 4 s.
var requestBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)

// Refusals returns the reasons for which jobs were refused or failed so far.
func (m *Metrics) Refusals() []Total { return totals(m.refusals) }

// Retries returns the reasons for which something was repeated or given up so far.
func (m *Metrics) Retries() []Total { return totals(m.retries) }

// Page answers with all values, at most a second old.
func (m *Metrics) Page(ctx *fasthttp.RequestCtx) { m.page(ctx) }

// Close writes the last values to the page and waits for the reporting to end.
func (m *Metrics) Close() error { return m.closer.Close() }

// storeCall is what calls to the store are told apart by.
type storeCall struct {
	purpose storage.Purpose
	result  storage.Result
}

func storeFamily(root tally.Scope) family[storeCall] {
	f := make(family[storeCall])
	for _, purpose := range storage.Purposes {
		for _, result := range storage.Results {
			tags := map[string]string{"purpose": purpose.String(), "result": string(result)}
			f[storeCall{purpose, result}] = newCounter(root, "store_calls_total", tags)
		}
	}
	f[storeCall{}] = newCounter(root, "store_calls_total", map[string]string{"purpose": unlisted, "result": unlisted})
	return f
}
