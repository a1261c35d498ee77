package instance

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/membership"
	"comfreystream/coordination/planning"
	"comfreystream/coordination/storage"
	"comfreystream/state"
)

// Overview is the status of an entry as shown to operators, in JSON.
type Overview struct {
	Entry            netip.AddrPort   `json:"entry"`
	AvailabilityZone string           `json:"availabilityZone"`
	Generation       state.Generation `json:"generation"`
	// Evacuated lists the zones in which nothing new starts, by this entry's manifest.
	Evacuated      []string             `json:"evacuated,omitempty"`
	StoreReachable bool                 `json:"storeReachable"`
	Draining       bool                 `json:"draining"`
	StoreCalls     []StoreCallsOverview `json:"storeCalls"`
	Refusals       []ReasonOverview     `json:"refusals"`
	Retries        []ReasonOverview     `json:"retries"`
	Entries        []EntryOverview      `json:"entries"`
	Racks          []string             `json:"racks"`
	// PlannerEntry is the zone's planner according to this entry's membership view.
	PlannerEntry netip.AddrPort   `json:"plannerEntry,omitzero"`
	Planner      *PlannerOverview `json:"planner,omitempty"`
}

// StoreCallsOverview is the number of calls to the store for one purpose.
type StoreCallsOverview struct {
	Purpose string `json:"purpose"`
	Calls   uint64 `json:"calls"`
}

// ReasonOverview is the count of one reason since the entry's start, at least 1.
type ReasonOverview struct {
	Reason state.Reason `json:"reason"`
	Count  uint64       `json:"count"`
}

// EntryOverview is an entry in this entry's membership view.
type EntryOverview struct {
	Address          netip.AddrPort   `json:"address"`
	AvailabilityZone string           `json:"availabilityZone"`
	Status           string           `json:"status"`
	Age              string           `json:"age"`
	Generation       state.Generation `json:"generation"`
}

// PlannerOverview is the state of the zone's planner; only the planner returns it.
type PlannerOverview struct {
	Workers       planning.WorkerCounts `json:"workers"`
	Total         ResourcesOverview     `json:"total"`
	Free          ResourcesOverview     `json:"free"`
	Lent          ResourcesOverview     `json:"lent"`
	Fragmentation float64               `json:"fragmentation"`
	ReservedFor   []state.JobID         `json:"reservedFor,omitempty"`
	Jobs          []PhaseOverview       `json:"jobs"`
	Guarantees    []GuaranteeOverview   `json:"guarantees"`
	Queues        []QueueOverview       `json:"queues"`
	Quarantined   []netip.AddrPort      `json:"quarantined"`
	Leaving       []netip.AddrPort      `json:"leaving"`
}

// ResourcesOverview is an amount of each resource, memory in bytes.
type ResourcesOverview struct {
	Slots        int   `json:"slots"`
	Accelerators int   `json:"accelerators"`
	Cores        int   `json:"cores"`
	MemoryBytes  int64 `json:"memoryBytes"`
}

// PhaseOverview is the number of jobs in one phase.
type PhaseOverview struct {
	Phase string `json:"phase"`
	Count int    `json:"count"`
}

// GuaranteeOverview shows how the members of one guarantee are used.
type GuaranteeOverview struct {
	Organisation string `json:"organisation"`
	Members      int    `json:"members"`
	Held         int    `json:"held"`
	Lent         int    `json:"lent"`
	Idle         int    `json:"idle"`
	Missing      int    `json:"missing"`
	Broken       string `json:"broken,omitempty"`
}

// QueueOverview shows one organisation's queue and the reason why its oldest job waits.
type QueueOverview struct {
	Organisation string      `json:"organisation"`
	Queued       int         `json:"queued"`
	Oldest       state.JobID `json:"oldest,omitempty"`
	OldestWait   string      `json:"oldestWait,omitempty"`
	Waiting      string      `json:"waiting,omitempty"`
}

// DecodeOverview decodes the overview in an entry's answer.
func DecodeOverview(data []byte) (*Overview, error) {
	var o Overview
	err := json.Unmarshal(data, &o)
	return &o, errors.Wrap(err, "decode overview")
}

// overview returns the entry's status as JSON; it includes the planner's part
// only while this entry is the zone's planner.
func (i *Instance) overview(context.Context) ([]byte, error) {
	generation, _ := i.rollout.Advert()
	body := Overview{
		Entry: i.Address(), AvailabilityZone: i.settings.AvailabilityZone, Generation: generation,
		StoreReachable: i.storage.Available(), Draining: i.leaving.Load(), Racks: i.keeper.Racks(),
	}
	if m := i.rollout.Current(); m != nil {
		body.Evacuated = m.Evacuated
	}
	for _, purpose := range storage.Purposes {
		body.StoreCalls = append(body.StoreCalls, StoreCallsOverview{purpose.String(), i.storage.Sent(purpose)})
	}
	for _, e := range i.members.View() {
		body.Entries = append(body.Entries, entryOf(e))
	}
	for _, r := range i.metrics.Refusals() {
		body.Refusals = append(body.Refusals, ReasonOverview(r))
	}
	for _, r := range i.metrics.Retries() {
		body.Retries = append(body.Retries, ReasonOverview(r))
	}
	body.PlannerEntry, _ = i.plannerOf(i.settings.AvailabilityZone)
	body.Planner = i.plannerOverview()
	data, err := json.Marshal(body)
	return data, errors.Wrap(err, "encode overview")
}

func entryOf(e membership.MemberView) EntryOverview {
	return EntryOverview{
		Address: e.Member.Address, AvailabilityZone: e.Member.AvailabilityZone, Status: e.Status.String(),
		Age:        time.Since(e.Member.Incarnation.Started()).Round(time.Second).String(),
		Generation: e.Member.Advert.Generation,
	}
}

func (i *Instance) plannerOverview() *PlannerOverview {
	d, err := i.plannerRole.Current()
	if err != nil {
		return nil
	}
	view := d.Planner.View()
	body := &PlannerOverview{
		Workers: view.Workers, Total: ResourcesOverview(view.Total), Free: ResourcesOverview(view.Free),
		Lent: ResourcesOverview(view.Lent), Fragmentation: view.Fragmentation, ReservedFor: view.ReservedFor,
		Leaving: i.leavingWorkers(),
	}
	for phase, count := range d.CountJobs() {
		body.Jobs = append(body.Jobs, PhaseOverview{phase.String(), count})
	}
	for _, g := range view.Guarantees {
		body.Guarantees = append(body.Guarantees, GuaranteeOverview{
			g.Organisation, g.Guarantee.Members, g.Held, g.Lent, g.Idle, g.Missing, string(g.Broken),
		})
	}
	for _, q := range view.Queues {
		body.Queues = append(body.Queues, QueueOverview{
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
