package worker

import (
	"context"
	"net/netip"

	"github.com/valyala/fasthttp"

	workerprotocol "comfreystream/protocol/worker"
	"comfreystream/state"
	"comfreystream/transport"
)

// Served is a simulated worker that answers over a real TCP port.
type Served struct {
	*Worker
	server *transport.Server
}

// Serve starts a worker on a free port of the address and records the resulting
// address in the worker's description.
func Serve(info state.Worker, address netip.Addr) (*Served, error) {
	w := New(info)
	handler := w.service().Handler()
	server, err := transport.Listen(netip.AddrPortFrom(address, 0), func(ctx *fasthttp.RequestCtx) {
		if w.Faults().Silent {
			<-transport.ConnectionContext(ctx).Done()
			return
		}
		handler(ctx)
	}, transport.Limits{})
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.info.Address = server.Address()
	w.mu.Unlock()
	return &Served{Worker: w, server: server}, nil
}

// Close stops the worker and its server.
func (s *Served) Close() error {
	if err := s.Worker.Close(); err != nil {
		return err
	}
	return s.server.Close()
}

func (w *Worker) service() *workerprotocol.Service {
	return &workerprotocol.Service{
		Attach: func(context.Context) (state.Token, error) { return w.Attach() },
		Hold:   func(_ context.Context, request state.HoldRequest) (state.Lease, error) { return w.Hold(request) },
		Start: func(_ context.Context, token state.Token, attempt state.JobAttempt) error {
			return w.Start(token, attempt)
		},
		Stop: func(_ context.Context, token state.Token, attempt state.JobAttempt) (bool, error) {
			return w.Stop(token, attempt)
		},
		Checkpoint: func(_ context.Context, token state.Token, attempt state.JobAttempt) ([]byte, error) {
			return w.Checkpoint(token, attempt)
		},
		Renew: w.Renew,
	}
}
