package transport

import (
	"context"
	"net/netip"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// TestRebind checks that a server can listen on the port of a closed server, as a
// restarted entry does. The connections that the first server closed are still
// in TIME_WAIT, which blocks the port without SO_REUSEADDR.
func TestRebind(t *testing.T) {
	tests := []struct {
		name   string
		closed bool
		want   string
	}{
		{"first server closed", true, ""},
		{"first server still listens", false, "address already in use"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			closeConnection := func(ctx *fasthttp.RequestCtx) { ctx.SetConnectionClose() }
			first, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), closeConnection, Limits{})
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = first.Close() }()
			getOnce(t, first.Address())
			if tt.closed {
				_ = first.Close()
			}
			second, err := Listen(first.Address(), closeConnection, Limits{})
			if err == nil {
				defer func() { _ = second.Close() }()
			}
			if (err == nil) != (tt.want == "") || err != nil && !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want %q", err, tt.want)
			}
		})
	}
}

func getOnce(t *testing.T, address netip.AddrPort) {
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
