package hosted

import (
	"bytes"
	"context"
	"crypto/rand"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/seat"
	"comfreystream/protocol/record"
	"comfreystream/state"
	"comfreystream/state/workflow"
)

// announceTimeout bounds telling the planner of a job; the store tells it as well.
const announceTimeout = 500 * time.Millisecond

// newIdentity names the process by its address for other entries; the text
// behind it is unique, so that no seat is taken for its own after a restart.
func newIdentity(entry netip.AddrPort) []byte { return []byte(entry.String() + " " + rand.Text()) }

// plannerAddress returns the address in an identity.
func plannerAddress(identity []byte) (netip.AddrPort, error) {
	text, _, _ := bytes.Cut(identity, []byte(" "))
	address, err := netip.ParseAddrPort(string(text))
	return address, errors.Wrap(err, "read the planner's identity")
}

// otherPlanner returns the planner if it is another entry.
func (i *Instance) otherPlanner() (netip.AddrPort, error) {
	identity, self := i.candidate.Planner()
	if self {
		return netip.AddrPort{}, errors.New("this entry is the planner")
	}
	return plannerAddress(identity)
}

// countRelayed counts a call to the store that is relayed through another entry.
func (i *Instance) countRelayed() { i.metrics.CountRetry(state.StoreUnavailable) }

func (i *Instance) askPlanner(ctx context.Context, identity []byte, term keyvalue.Revision, wait time.Duration) (seat.Standing, error) {
	address, err := plannerAddress(identity)
	if err != nil {
		return "", err
	}
	return i.peers.Stand(ctx, address, term, wait)
}

// announce tells the planner of an accepted job, in the background.
func (i *Instance) announce(job *workflow.Job) {
	i.tellPlanner(job.ID, func(t *term) { t.accepted(job) }, func(ctx context.Context, planner netip.AddrPort) error {
		text, err := record.EncodeSubmission(job)
		if err != nil {
			return err
		}
		return i.peers.Accepted(ctx, planner, job.ID, text)
	})
}

// announceCancel tells the planner of a cancellation, in the background.
func (i *Instance) announceCancel(id workflow.ID) {
	i.tellPlanner(id, func(t *term) { t.cancelled(id) }, func(ctx context.Context, planner netip.AddrPort) error {
		return i.peers.Cancelled(ctx, planner, id)
	})
}

// tellPlanner runs here if this instance plans, or else calls the planner.
func (i *Instance) tellPlanner(id workflow.ID, here func(t *term), call func(ctx context.Context, planner netip.AddrPort) error) {
	identity, self := i.candidate.Planner()
	if t := i.term.Load(); self && t != nil {
		here(t)
		return
	}
	planner, err := plannerAddress(identity)
	if self || err != nil {
		return // the store tells whoever plans next
	}
	i.loops.Go(func() {
		ctx, cancel := context.WithTimeout(i.ctx, announceTimeout)
		defer cancel()
		if err := call(ctx, planner); err != nil {
			i.log.Debug().Str("event", "plannerNotTold").Str("request", string(id)).Err(err).Send()
		}
	})
}

// heardAccepted takes another entry's news of a job.
func (i *Instance) heardAccepted(id workflow.ID, text []byte) error {
	job, err := record.DecodeSubmission(id, text)
	if err != nil {
		return err
	}
	if t := i.term.Load(); t != nil {
		t.accepted(job)
	}
	return nil
}

func (i *Instance) heardCancelled(id workflow.ID) {
	if t := i.term.Load(); t != nil {
		t.cancelled(id)
	}
}
