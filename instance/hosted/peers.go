package hosted

import (
	"bytes"
	"context"
	"crypto/rand"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/election"
	"comfreystream/protocol/record"
	"comfreystream/state"
	"comfreystream/state/workflow"
)

// notifyTimeout bounds one notification of the planner. Losing one is harmless, as the
// planner also watches the store.
const notifyTimeout = 500 * time.Millisecond

// maxNotifiedBytes bounds the record of a job in a notification. A record may take 450
// times its bytes once decoded; the planner reads larger ones from the store alone.
const maxNotifiedBytes = 16 << 10

// newIdentity returns the process's address for other entries and a random text, so
// that a restarted process does not take its predecessor's key for its own.
func newIdentity(entry netip.AddrPort) []byte { return []byte(entry.String() + " " + rand.Text()) }

// plannerAddress returns the address in a planner's identity.
func plannerAddress(identity []byte) (netip.AddrPort, error) {
	text, _, _ := bytes.Cut(identity, []byte(" "))
	address, err := netip.ParseAddrPort(string(text))
	return address, errors.Wrap(err, "read the planner's identity")
}

// remotePlanner returns the planner's address, or an error if this entry is the
// planner.
func (i *Instance) remotePlanner() (netip.AddrPort, error) {
	identity, self := i.candidate.Planner()
	if self {
		return netip.AddrPort{}, errors.New("this entry is the planner")
	}
	return plannerAddress(identity)
}

// seeds returns the addresses of the entries on the instances that the platform names as
// seeds, without this one. All entries use the same port.
func (i *Instance) seeds() (list []netip.AddrPort) {
	self := i.entryServer.Address()
	for _, instance := range i.settings.Load().Seeds {
		if entry := netip.AddrPortFrom(instance, self.Port()); entry != self {
			list = append(list, entry)
		}
	}
	return list
}

// countRelayed counts a call to the store that is relayed through another entry.
func (i *Instance) countRelayed() { i.metrics.CountRetry(state.StoreUnavailable) }

// askPlanner requests the status of the planner with the identity.
func (i *Instance) askPlanner(ctx context.Context, identity []byte, request election.StatusRequest) (election.TermStatus, error) {
	address, err := plannerAddress(identity)
	if err != nil {
		return "", err
	}
	return i.plannerClient.TermStatus(ctx, address, request)
}

// notifyAccepted notifies the planner of an accepted job without waiting for it.
func (i *Instance) notifyAccepted(job *workflow.Job) {
	local := func(t *term) {
		t.addJob(job, jobNotified)
		if t.refuses() {
			i.gate.NoteWaiting()
		}
	}
	i.notifyPlanner(job.ID, local, func(ctx context.Context, planner netip.AddrPort) error {
		text, err := record.EncodeSubmission(job)
		if err != nil || len(text) > maxNotifiedBytes {
			return err
		}
		waiting, err := i.plannerClient.NotifyAccepted(ctx, planner, job.ID, text)
		if waiting {
			i.gate.NoteWaiting()
		}
		return err
	})
}

// notifyCancelled notifies the planner of a cancellation without waiting for it.
func (i *Instance) notifyCancelled(id workflow.ID) {
	i.notifyPlanner(id, func(t *term) { t.cancelJob(id, jobNotified) }, func(ctx context.Context, planner netip.AddrPort) error {
		return i.plannerClient.NotifyCancelled(ctx, planner, id)
	})
}

// notifyPlanner calls local if this instance is the planner, and otherwise remote in
// the background with the planner's address.
func (i *Instance) notifyPlanner(id workflow.ID, local func(t *term), remote func(ctx context.Context, planner netip.AddrPort) error) {
	identity, self := i.candidate.Planner()
	if t := i.term.Load(); self && t != nil {
		local(t)
		return
	}
	planner, err := plannerAddress(identity)
	if self || err != nil {
		return // the next planner reads it from the store
	}
	i.loops.Go(func() {
		ctx, cancel := context.WithTimeout(i.ctx, notifyTimeout)
		defer cancel()
		if err := remote(ctx, planner); err != nil {
			i.log.Debug().Str("event", "plannerNotTold").Str("request", string(id)).Err(err).Send()
		}
	})
}

// handleAccepted handles another entry's notification of an accepted job. It returns
// whether new jobs wait so long that some are to be refused.
func (i *Instance) handleAccepted(id workflow.ID, text []byte) (waiting bool, err error) {
	t := i.term.Load()
	if t == nil {
		return false, nil
	}
	if len(text) > maxNotifiedBytes {
		return t.refuses(), nil
	}
	job, err := t.decodeNotified(id, text)
	if err != nil {
		return false, err
	}
	t.addJob(job, jobNotified)
	return t.refuses(), nil
}

// decodeNotified decodes the job in a notification, one at a time to bound the memory.
func (t *term) decodeNotified(id workflow.ID, text []byte) (*workflow.Job, error) {
	t.decoding.Lock()
	defer t.decoding.Unlock()
	return record.DecodeSubmission(id, text)
}

// handleCancelled handles another entry's notification of a cancellation.
func (i *Instance) handleCancelled(id workflow.ID) {
	if t := i.term.Load(); t != nil {
		t.cancelJob(id, jobNotified)
	}
}
