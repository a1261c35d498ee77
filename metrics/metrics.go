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

// reportInterval is the age that values on the page may reach.
const reportInterval = time.Second

// unlistedLabel is the label value for reasons without a counter of their own.
// Peers may send any reason; a counter for each would let the page grow without
// limit.
const unlistedLabel = "unlisted"

// Metrics holds an entry's metrics; it is safe for concurrent use.
type Metrics struct {
	// Root is the scope in which other packages create gauges and timers.
	Root tally.Scope

	refusals          counterFamily[state.Reason]
	retries           counterFamily[state.Reason]
	failedAnswers     counterFamily[state.Reason]
	transportRefusals counterFamily[string]
	datagramRefusals  counterFamily[string]
	storeCalls        counterFamily[storeCall]
	rolloutEvents     counterFamily[rollout.Event]
	plannerEvents     counterFamily[string]
	page              fasthttp.RequestHandler
	closer            io.Closer
}

// New returns metrics that show every known reason with a count of 0.
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
		Root:              root,
		refusals:          newReasonFamily(root, "refusals_total", state.Reasons),
		retries:           newReasonFamily(root, "retries_total", state.Reasons),
		failedAnswers:     newReasonFamily(root, "failed_answers_total", state.Reasons),
		transportRefusals: newReasonFamily(root, "transport_refusals_total", transport.Reasons),
		datagramRefusals:  newReasonFamily(root, "datagram_refusals_total", gossip.Reasons),
		storeCalls:        newStoreCallFamily(root),
		rolloutEvents:     newReasonFamily(root, "rollout_events_total", rollout.Events),
		plannerEvents:     newReasonFamily(root, "planner_events_total", scheduling.Events),
		page:              transport.AdaptHandler(reporter.HTTPHandler()),
		closer:            closer,
	}
}

// CountRefusal counts a refused or failed job.
func (m *Metrics) CountRefusal(reason state.Reason) { m.refusals.count(reason) }

// CountRetry counts an operation that was retried or abandoned.
func (m *Metrics) CountRetry(reason state.Reason) { m.retries.count(reason) }

// CountErrorResponse counts an error response to a caller.
func (m *Metrics) CountErrorResponse(reason state.Reason) { m.failedAnswers.count(reason) }

// CountTransportRefusal counts a connection or a request refused by the transport.
func (m *Metrics) CountTransportRefusal(reason string) { m.transportRefusals.count(reason) }

// CountDroppedDatagram counts a datagram that was dropped.
func (m *Metrics) CountDroppedDatagram(reason string) { m.datagramRefusals.count(reason) }

// CountStoreCall counts a call to the store by its purpose and result.
func (m *Metrics) CountStoreCall(purpose storage.Purpose, result storage.Result) {
	m.storeCalls.count(storeCall{purpose, result})
}

// CountRolloutEvent counts an event in the rollout of a manifest.
func (m *Metrics) CountRolloutEvent(event rollout.Event) { m.rolloutEvents.count(event) }

// CountPlannerEvent counts an event of the zone's planner.
func (m *Metrics) CountPlannerEvent(event string) { m.plannerEvents.count(event) }

// ObserveRequest records the duration of a caller's request by method and status.
func (m *Metrics) ObserveRequest(method string, status int, took time.Duration) {
	tags := map[string]string{"method": method, "status": strconv.Itoa(status)}
	m.Root.Tagged(tags).Histogram("request_seconds", requestBuckets).RecordDuration(took)
}

// ObservePlanningRound records the duration of one planning round.
func (m *Metrics) ObservePlanningRound(took time.Duration) {
	m.Root.Histogram("planning_round_seconds", requestBuckets).RecordDuration(took)
}

// SetExpectedWait sets how long new jobs of a service and priority wait at least where some
// are refused for it.
func (m *Metrics) SetExpectedWait(service, priority string, wait time.Duration) {
	m.Root.Tagged(map[string]string{"service": service, "priority": priority}).Gauge("expected_wait_seconds").Update(wait.Seconds())
}

// requestBuckets are the upper bounds of the latency histograms, from 1 ms to 4 s.
var requestBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)

// Refusals returns how many jobs were refused or failed so far, by reason.
func (m *Metrics) Refusals() []ReasonCount { return nonZeroCounts(m.refusals) }

// Retries returns how many operations were retried or abandoned so far, by reason.
func (m *Metrics) Retries() []ReasonCount { return nonZeroCounts(m.retries) }

// Page responds with all metrics; the values are at most reportInterval old.
func (m *Metrics) Page(ctx *fasthttp.RequestCtx) { m.page(ctx) }

// Close updates the page a last time and waits for the periodic reporting to end.
func (m *Metrics) Close() error { return m.closer.Close() }

// storeCall holds the labels by which calls to the store are counted.
type storeCall struct {
	purpose storage.Purpose
	result  storage.Result
}

func newStoreCallFamily(root tally.Scope) counterFamily[storeCall] {
	f := make(counterFamily[storeCall])
	for _, purpose := range storage.Purposes {
		for _, result := range storage.Results {
			tags := map[string]string{"purpose": purpose.String(), "result": string(result)}
			f[storeCall{purpose, result}] = newCounter(root, "store_calls_total", tags)
		}
	}
	f[storeCall{}] = newCounter(root, "store_calls_total", map[string]string{"purpose": unlistedLabel, "result": unlistedLabel})
	return f
}
