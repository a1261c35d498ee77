package metrics

import (
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"comfreystream/protocol/gossip"
	"comfreystream/state"
	"comfreystream/transport"
)

func TestPage(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	m := New()
	m.CountRefusal(state.QueueFull)
	m.CountRefusal(state.QueueFull)
	m.CountRefusal("a peer's word")
	m.CountRetry(state.WorkerLost)
	m.CountTransportRefusal(transport.BodyTooLarge)
	m.CountDroppedDatagram(gossip.BadAddress)
	m.Root.Gauge("queue_length").Update(3)
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	var ctx fasthttp.RequestCtx
	m.Page(&ctx)
	page := string(ctx.Response.Body())
	tests := []struct{ name, line string }{
		{"counted twice", `comfreystream_refusals_total{reason="queueFull"} 2`},
		{"not yet counted", `comfreystream_refusals_total{reason="neverFits"} 0`},
		{"reason without a counter", `comfreystream_refusals_total{reason="unlisted"} 1`},
		{"retry counted", `comfreystream_retries_total{reason="workerLost"} 1`},
		{"refused by the transport", `comfreystream_transport_refusals_total{reason="bodyTooLarge"} 1`},
		{"datagram dropped", `comfreystream_datagram_refusals_total{reason="badAddress"} 1`},
		{"gauge", `comfreystream_queue_length 3`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if !strings.Contains(page, "\n"+tt.line+"\n") {
				t.Errorf("no line %q in\n%s", tt.line, page)
			}
		})
	}
}
