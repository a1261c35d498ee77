package main

import (
	"context"
	"net/netip"
	"os"
	"os/signal"
	"time"

	"github.com/pkg/errors"

	"comfreystream/protocol/caller"
	"comfreystream/transport"
)

// entryFlags are the flags of the verbs that call an entry; any entry can serve the call.
type entryFlags struct {
	Entry   string        `help:"Address of any entry: IP number and port." default:"127.0.0.1:7070" placeholder:"ADDRESS" env:"COMFREYSTREAM_ENTRY"`
	Timeout time.Duration `help:"How long to wait for the answer." default:"1m"`
}

// call runs send with a client for the entry and closes the client's
// connections; Timeout and an interrupt cancel ctx.
func (f *entryFlags) call(send func(ctx context.Context, client *caller.Client, entry netip.AddrPort) error) error {
	entry, err := netip.ParseAddrPort(f.Entry)
	if err != nil {
		return &usageError{errors.Errorf("--entry: %q is not an address; write an IP address and a port, such as 127.0.0.1:7070", f.Entry)}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	connections := transport.NewClient(transport.ClientLimits{})
	defer func() { _ = connections.Close() }()
	return send(ctx, &caller.Client{Connections: connections}, entry)
}
