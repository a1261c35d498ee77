package instance

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"comfreystream/coordination/membership"
	"comfreystream/coordination/planning"
	"comfreystream/coordination/storage"
	"comfreystream/state"

	"github.com/pkg/errors"
)

// overviewBody is what an operator on call asks first, as JSON.
type overviewBody struct {
	Entry            netip.AddrPort   `json:"entry"`
	AvailabilityZone string           `json:"availabilityZone"`
	Generation       state.Generation `json:"generation"`
	StoreReachable   bool             `json:"storeReachable"`
	Draining         bool             `json:"draining"`
	StoreCalls       []storeCallsBody `json:"storeCalls"`
	Entries          []entryBody      `json:"entries"`
	Racks            []string         `json:"racks"`
	Planner          *plannerBody     `json:"planner,omitempty"`
}

type storeCallsBody struct {
	Purpose string `json:"purpose"`
	Calls   uint64 `json:"calls"`
}

type entryBody struct {
	Address          netip.AddrPort   `json:"address"`
	AvailabilityZone string           `json:"availabilityZone"`
	Status           string           `json:"status"`
	Age              string           `json:"age"`
	Generation       state.Generation `json:"generation"`
}

type plannerBody struct {
	Workers       planning.WorkerCounts `json:"workers"`
	Total         resourcesBody         `json:"total"`
	Free          resourcesBody         `json:"free"`
	Lent          resourcesBody         `json:"lent"`
	Fragmentation float64               `json:"fragmentation"`
	ReservedFor   state.JobID           `json:"reservedFor,omitempty"`
	Jobs          []phaseBody           `json:"jobs"`
	Guarantees    []guaranteeBody       `json:"guarantees"`
	Queues        []queueBody           `json:"queues"`
	Quarantined   []netip.AddrPort      `json:"quarantined"`
	Leaving       []netip.AddrPort      `json:"leaving"`
}

type resourcesBody struct {
	Slots        int   `json:"slots"`
	Accelerators int   `json:"accelerators"`
	Cores        int   `json:"cores"`
	MemoryBytes  int64 `json:"memoryBytes"`
}

type phaseBody struct {
	Phase string `json:"phase"`
	Count int    `json:"count"`
}

type guaranteeBody struct {
	Organisation string `json:"organisation"`
	Members      int    `json:"members"`
	Held         int    `json:"held"`
	Lent         int    `json:"lent"`
	Idle         int    `json:"idle"`
	Missing      int    `json:"missing"`
	Broken       string `json:"broken,omitempty"`
}

type queueBody struct {
	Organisation string      `json:"organisation"`
	Queued       int         `json:"queued"`
	Oldest       state.JobID `json:"oldest,omitempty"`
	OldestWait   string      `json:"oldestWait,omitempty"`
	Waiting      string      `json:"waiting,omitempty"`
}

// overview returns this entry's view; the planner's part is its own only while
// it is the zone's planner.
func (i *Instance) overview(context.Context) ([]byte, error) {
	generation, _ := i.rollout.Advert()
	body := overviewBody{
		Entry: i.Address(), AvailabilityZone: i.settings.AvailabilityZone, Generation: generation,
		StoreReachable: i.storage.Available(), Draining: i.leaving.Load(), Racks: i.keeper.Racks(),
	}
	for _, purpose := range storage.Purposes {
		body.StoreCalls = append(body.StoreCalls, storeCallsBody{purpose.String(), i.storage.Sent(purpose)})
	}
	for _, e := range i.members.View() {
		body.Entries = append(body.Entries, entryOf(e))
	}
	body.Planner = i.plannerOverview()
	data, err := json.Marshal(body)
	return data, errors.Wrap(err, "encode overview")
}

func entryOf(e membership.Entry) entryBody {
	return entryBody{
		Address: e.Member.Address, AvailabilityZone: e.Member.AvailabilityZone, Status: e.Status.String(),
		Age:        time.Since(e.Member.Incarnation.Started()).Round(time.Second).String(),
		Generation: e.Member.Advert.Generation,
	}
}

func (i *Instance) plannerOverview() *plannerBody {
	d, err := i.seat.Current()
	if err != nil {
		return nil
	}
	view := d.Planner.View()
	body := &plannerBody{
		Workers: view.Workers, Total: resourcesBody(view.Total), Free: resourcesBody(view.Free),
		Lent: resourcesBody(view.Lent), Fragmentation: view.Fragmentation, ReservedFor: view.ReservedFor,
		Leaving: i.leavingWorkers(),
	}
	for phase, count := range d.Jobs() {
		body.Jobs = append(body.Jobs, phaseBody{phase.String(), count})
	}
	for _, g := range view.Guarantees {
		body.Guarantees = append(body.Guarantees, guaranteeBody{
			g.Organisation, g.Guarantee.Members, g.Held, g.Lent, g.Idle, g.Missing, string(g.Broken),
		})
	}
	for _, q := range view.Queues {
		body.Queues = append(body.Queues, queueBody{
			q.Organisation, q.Queued, q.Oldest, q.OldestWait.Round(time.Millisecond).String(), string(q.Waiting),
		})
	}
	for _, e := range d.Quarantine.List() {
		body.Quarantined = append(body.Quarantined, e.Worker)
	}
	return body
}

func (i *Instance) leavingWorkers() (addresses []netip.AddrPort) {
	for _, w := range i.list.workersIn(i.settings.AvailabilityZone) {
		if w.Leaving {
			addresses = append(addresses, w.Address)
		}
	}
	return addresses
}
