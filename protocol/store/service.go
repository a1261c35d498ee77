package store

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"comfreystream/coordination/storage"
	"comfreystream/protocol/message"
	"comfreystream/state"
)

const (
	// maxBodyBytes has room for a value of 1 MiB in base64.
	maxBodyBytes = 2 << 20
	maxWait      = 10 * time.Second // of a watch
)

// Service serves the store's protocol, for a stand-in of the store; Calls are the
// stand-in's raw calls, without envelopes.
type Service struct {
	Calls storage.Calls
}

// Handler returns the HTTP handler of a store.
func (s *Service) Handler() fasthttp.RequestHandler {
	limits := message.Limits{BodyBytes: maxBodyBytes}
	return message.Routes([]message.Route{
		{Path: getPath, Handle: message.Handle(limits, s.get)},
		{Path: compareAndSwapPath, Handle: message.Handle(limits, s.compareAndSwap)},
		{Path: watchPath, Handle: message.Handle(limits, s.watch)},
		{Path: grantPath, Handle: message.Handle(limits, s.grant)},
		{Path: keepAlivePath, Handle: message.Handle(limits, s.keepAlive)},
	})
}

func (s *Service) get(ctx context.Context, r getRequest) (wireEntry, error) {
	entry, err := s.Calls.Get(ctx, r.Key)
	return toWireEntry(entry), err
}

func (s *Service) compareAndSwap(ctx context.Context, r compareAndSwapRequest) (compareAndSwapResponse, error) {
	write := state.Write{Key: r.Key, Old: r.Old, Lease: r.Lease}
	if !r.Delete {
		write.Value = append([]byte{}, r.Value...)
	}
	version, err := s.Calls.CompareAndSwap(ctx, write)
	var conflict *state.WriteConflict
	if errors.As(err, &conflict) {
		return compareAndSwapResponse{Version: conflict.Current, Conflict: true}, nil
	}
	return compareAndSwapResponse{Version: version}, err
}

func (s *Service) watch(ctx context.Context, r watchRequest) (watchResponse, error) {
	if r.Wait < 0 || r.Wait > maxWait {
		return watchResponse{}, state.NewStepError(watchPath, netip.AddrPort{}, state.BadRequest, errors.Errorf("wait must be from 0 to %v", maxWait))
	}
	entries, latest, err := s.Calls.Watch(ctx, r.Prefix, r.After, r.Wait)
	response := watchResponse{Latest: latest, Entries: make([]wireEntry, len(entries))}
	for i, e := range entries {
		response.Entries[i] = toWireEntry(e)
	}
	return response, err
}

func (s *Service) grant(ctx context.Context, r grantRequest) (grantResponse, error) {
	lease, err := s.Calls.Grant(ctx, r.TTL)
	return grantResponse{Lease: lease}, err
}

func (s *Service) keepAlive(ctx context.Context, r keepAliveRequest) (emptyMessage, error) {
	return emptyMessage{}, s.Calls.KeepAlive(ctx, r.Lease)
}
