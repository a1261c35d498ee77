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
	// maxBodyBytes leaves room for a value of 1 MiB in base64.
	maxBodyBytes = 2 << 20
	maxWait      = 10 * time.Second
)

// Service is the store's side, which a stand-in fills with its raw calls.
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
	return toWire(entry), err
}

func (s *Service) compareAndSwap(ctx context.Context, r compareAndSwapRequest) (compareAndSwapReply, error) {
	write := state.Write{Key: r.Key, Old: r.Old, Lease: r.Lease}
	if !r.Delete {
		write.Value = append([]byte{}, r.Value...)
	}
	version, err := s.Calls.CompareAndSwap(ctx, write)
	var conflict *state.WriteConflict
	if errors.As(err, &conflict) {
		return compareAndSwapReply{Version: conflict.Current, Conflict: true}, nil
	}
	return compareAndSwapReply{Version: version}, err
}

func (s *Service) watch(ctx context.Context, r watchRequest) (watchReply, error) {
	if r.Wait < 0 || r.Wait > maxWait {
		return watchReply{}, state.NewStepError(watchPath, netip.AddrPort{}, state.BadRequest, errors.Errorf("a watch waits at most %v", maxWait))
	}
	entries, latest, err := s.Calls.Watch(ctx, r.Prefix, r.After, r.Wait)
	reply := watchReply{Latest: latest, Entries: make([]wireEntry, len(entries))}
	for i, e := range entries {
		reply.Entries[i] = toWire(e)
	}
	return reply, err
}

func (s *Service) grant(ctx context.Context, r grantRequest) (grantReply, error) {
	lease, err := s.Calls.Grant(ctx, r.TTL)
	return grantReply{Lease: lease}, err
}

func (s *Service) keepAlive(ctx context.Context, r keepAliveRequest) (nothing, error) {
	return nothing{}, s.Calls.KeepAlive(ctx, r.Lease)
}
