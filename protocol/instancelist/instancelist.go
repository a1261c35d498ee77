package instancelist

import (
	"context"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"comfreystream/protocol/message"
	"comfreystream/state"
	"comfreystream/transport"
)

const (
	listPath     = "/instances/list"
	maxBodyBytes = 1 << 10
)

type listRequest struct {
	Since uint64        `json:"since"`
	Wait  time.Duration `json:"wait"`
}

type listResponse struct {
	Version uint64           `json:"version"`
	Full    bool             `json:"full,omitempty"`
	Workers []wireWorker     `json:"workers,omitempty"`
	Entries []wireInstance   `json:"entries,omitempty"`
	Gone    []netip.AddrPort `json:"gone,omitempty"`
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

// Client calls the instance list at Peer; it is safe for concurrent use.
type Client struct {
	Connections *transport.Client
	Peer        netip.AddrPort
}

// List returns the changes to the list after the version since; 0 requests the
// whole list. While there are none, the platform may delay its response by up to
// wait. List fails with a *state.StepError.
func (c *Client) List(ctx context.Context, since uint64, wait time.Duration) (state.InstanceChanges, error) {
	response, err := message.Call[listRequest, listResponse](ctx, c.Connections, c.Peer, listPath, listRequest{since, wait})
	if err != nil {
		return state.InstanceChanges{}, err
	}
	changes := state.InstanceChanges{Version: response.Version, Full: response.Full, Removed: response.Gone}
	for _, w := range response.Workers {
		changes.Changed.Workers = append(changes.Changed.Workers, state.Worker{
			Address: w.Address, Rack: state.Rack(w.Rack), Capacity: state.Resources(w.Capacity), Leaving: w.Leaving,
		})
	}
	for _, e := range response.Entries {
		changes.Changed.Entries = append(changes.Changed.Entries, state.Instance(e))
	}
	return changes, nil
}

// Service serves the protocol of the instance list, for a stand-in of it.
type Service struct {
	List func(ctx context.Context, since uint64, wait time.Duration) (state.InstanceChanges, error)
}

// Handler returns the HTTP handler of an instance list.
func (s *Service) Handler() fasthttp.RequestHandler {
	limits := message.Limits{BodyBytes: maxBodyBytes}
	return message.Routes([]message.Route{{Path: listPath, Handle: message.Handle(limits, s.list)}})
}

func (s *Service) list(ctx context.Context, request listRequest) (listResponse, error) {
	changes, err := s.List(ctx, request.Since, request.Wait)
	response := listResponse{Version: changes.Version, Full: changes.Full, Gone: changes.Removed}
	for _, w := range changes.Changed.Workers {
		response.Workers = append(response.Workers, wireWorker{
			Address: w.Address, Rack: wireRack(w.Rack), Capacity: wireResources(w.Capacity), Leaving: w.Leaving,
		})
	}
	for _, e := range changes.Changed.Entries {
		response.Entries = append(response.Entries, wireInstance(e))
	}
	return response, err
}
