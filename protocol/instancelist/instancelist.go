package instancelist

import (
	"comfreystream/protocol/message"
	"comfreystream/state"
	"comfreystream/transport"
	"context"
	"net/netip"

	"github.com/valyala/fasthttp"
)

const (
	listPath     = "/instances/list"
	maxBodyBytes = 1 << 10
)

type nothing struct{}

type listReply struct {
	Workers []wireWorker   `json:"workers"`
	Entries []wireInstance `json:"entries"`
}

type wireWorker struct {
	Address  netip.AddrPort `json:"address"`
	Rack     wireRack       `json:"rack"`
	Capacity wireResources  `json:"capacity"`
	Leaving  bool           `json:"leaving,omitempty"`
}

type wireRack struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availabilityZone"`
	Position         int    `json:"position"`
}

type wireResources struct {
	Slots        int   `json:"slots"`
	Accelerators int   `json:"accelerators"`
	Cores        int   `json:"cores"`
	MemoryBytes  int64 `json:"memoryBytes"`
}

type wireInstance struct {
	Address          netip.AddrPort `json:"address"`
	AvailabilityZone string         `json:"availabilityZone"`
	Leaving          bool           `json:"leaving,omitempty"`
}

// Client asks the instance list at Peer; a failure is a *state.StepError. It is
// safe for several goroutines.
type Client struct {
	Connections *transport.Client
	Peer        netip.AddrPort
}

// List returns the live and leaving instances, as far as the platform knows.
func (c *Client) List(ctx context.Context) (state.InstanceList, error) {
	reply, err := message.Call[nothing, listReply](ctx, c.Connections, c.Peer, listPath, nothing{})
	if err != nil {
		return state.InstanceList{}, err
	}
	var list state.InstanceList
	for _, w := range reply.Workers {
		list.Workers = append(list.Workers, state.Worker{
			Address: w.Address, Rack: state.Rack(w.Rack), Capacity: state.Resources(w.Capacity), Leaving: w.Leaving,
		})
	}
	for _, e := range reply.Entries {
		list.Entries = append(list.Entries, state.Instance(e))
	}
	return list, nil
}

// Service is the instance list's side, which a stand-in fills.
type Service struct {
	List func(ctx context.Context) (state.InstanceList, error)
}

// Handler returns the HTTP handler of an instance list.
func (s *Service) Handler() fasthttp.RequestHandler {
	limits := message.Limits{BodyBytes: maxBodyBytes}
	return message.Routes([]message.Route{{Path: listPath, Handle: message.Handle(limits, s.list)}})
}

func (s *Service) list(ctx context.Context, _ nothing) (listReply, error) {
	list, err := s.List(ctx)
	reply := listReply{Workers: make([]wireWorker, len(list.Workers)), Entries: make([]wireInstance, len(list.Entries))}
	for i, w := range list.Workers {
		reply.Workers[i] = wireWorker{Address: w.Address, Rack: wireRack(w.Rack), Capacity: wireResources(w.Capacity), Leaving: w.Leaving}
	}
	for i, e := range list.Entries {
		reply.Entries[i] = wireInstance(e)
	}
	return reply, err
}
