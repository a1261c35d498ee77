package transport

import (
	"context"
	"net/netip"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// TestRebind has a server come back on its own port, as a restarted entry
// does, although it closed connections there a moment ago.
func TestRebind(t *testing.T) {
	tests := []struct {
		name   string
		closed bool
		want   string
	}{
		{"free again after the server closed its connections", true, ""},
		{"taken by another server", false, "address already in use"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			answer := func(ctx *fasthttp.RequestCtx) { ctx.SetConnectionClose() }
			first, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), answer, Limits{})
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = first.Close() }()
			askOnce(t, first.Address())
			if tt.closed {
				_ = first.Close()
			}
			second, err := Listen(first.Address(), answer, Limits{})
			if err == nil {
				defer func() { _ = second.Close() }()
			}
			if (err == nil) != (tt.want == "") || err != nil && !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v; want %q", err, tt.want)
			}
		})
	}
}

func askOnce(t *testing.T, address netip.AddrPort) {
	t.Helper()
	client := NewClient(ClientLimits{})
	defer func() { _ = client.Close() }()
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.SetRequestURI("/")
	request.Header.SetHost(address.String())
	if err := client.Do(context.Background(), address, request, response); err != nil {
		t.Fatal(err)
	}
}
