package metrics

import (
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
	connections map[string]tally.Counter
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
		connections: counters(root, "transport_refusals_total", transport.Reasons),
		page:        transport.Adapt(reporter.HTTPHandler()),
		closer:      closer,
	}
}

// CountRefusal counts a refusal or a failed job.
func (m *Metrics) CountRefusal(reason state.Reason) { count(m.refusals, reason) }

// CountRetry counts an attempt that was repeated or given up.
func (m *Metrics) CountRetry(reason state.Reason) { count(m.retries, reason) }

// CountConnection counts a request or a connection that the transport refused.
func (m *Metrics) CountConnection(reason string) { count(m.connections, reason) }

// Page answers with all values, at most a second old.
func (m *Metrics) Page(ctx *fasthttp.RequestCtx) { m.page(ctx) }

// Close writes the last values to the page and waits for the reporting to end.
func (m *Metrics) Close() error { return m.closer.Close() }

func counters[Reason ~string](root tally.Scope, name string, reasons []Reason) map[Reason]tally.Counter {
	all := make(map[Reason]tally.Counter, len(reasons)+1)
	for _, reason := range append([]Reason{unlisted}, reasons...) {
		counter := root.Tagged(map[string]string{"reason": string(reason)}).Counter(name)
		counter.Inc(0)
		all[reason] = counter
	}
	return all
}

func count[Reason ~string](all map[Reason]tally.Counter, reason Reason) {
	counter, listed := all[reason]
	if !listed {
		counter = all[unlisted]
	}
	counter.Inc(1)
}
