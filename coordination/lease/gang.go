package lease

import (
	"context"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreystream/state"
)

// Hold takes leases for the attempt on workers of one rack, on all or on none.
func (k *Keeper) Hold(ctx context.Context, rackName string, job *state.Job, attempt state.Attempt, placements []state.Placement, ttl time.Duration) ([]state.Lease, error) {
	r, err := k.findRack(rackName)
	if err != nil {
		return nil, err
	}
	leases := make([]state.Lease, len(placements))
	var calls errgroup.Group
	for i, p := range placements {
		calls.Go(func() (err error) {
			leases[i], err = r.holdOn(ctx, p.Worker, state.HoldRequest{Job: *job, Attempt: attempt, Members: p.Members, TTL: ttl})
			return err
		})
	}
	if err := calls.Wait(); err != nil {
		k.Count(state.ReasonOf(err, state.LeaseRefused))
		r.release(ctx, state.JobAttempt{Job: job.ID, Attempt: attempt}, placements)
		return nil, err
	}
	return leases, nil
}

func (r *rack) holdOn(ctx context.Context, address netip.AddrPort, request state.HoldRequest) (_ state.Lease, err error) {
	request.Token, err = r.tokenFor("hold", address)
	if err != nil {
		return state.Lease{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	return r.keeper.Workers.Hold(ctx, address, request)
}

// release stops the attempt after a failed Hold; a lease whose worker does not
// confirm the stop expires.
func (r *rack) release(ctx context.Context, attempt state.JobAttempt, placements []state.Placement) {
	var calls errgroup.Group
	for _, p := range placements {
		calls.Go(func() error {
			_, err := r.stopOn(context.WithoutCancel(ctx), p.Worker, attempt)
			return err
		})
	}
	if err := calls.Wait(); err != nil {
		r.keeper.Count(state.ReasonOf(err, state.WorkerSilent))
	}
}

// Start starts the gang's members under the leases; an ambiguous error means that
// some may run.
func (k *Keeper) Start(ctx context.Context, rackName string, leases []state.Lease) error {
	r, err := k.findRack(rackName)
	if err != nil {
		return err
	}
	var calls errgroup.Group
	for _, l := range leases {
		calls.Go(func() error { return r.startOn(ctx, l) })
	}
	err = calls.Wait()
	if err != nil {
		k.Count(state.ReasonOf(err, state.LeaseRefused))
	}
	return err
}

func (r *rack) startOn(ctx context.Context, l state.Lease) error {
	token, err := r.tokenFor("start", l.Worker)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.keeper.Workers.Start(ctx, l.Worker, token, state.JobAttempt{Job: l.Job, Attempt: l.Attempt})
}

// Stop stops the attempt and invalidates its leases on the given workers, or on
// every worker of the rack if none are given. It reports whether each of them
// confirmed that it had started no member, and is idempotent.
func (k *Keeper) Stop(ctx context.Context, rackName string, attempt state.JobAttempt, workers []netip.AddrPort) (neverStarted bool, err error) {
	r, err := k.findRack(rackName)
	if err != nil {
		return false, err
	}
	if len(workers) == 0 {
		workers = r.workerAddresses()
	}
	never := make([]bool, len(workers))
	var calls errgroup.Group
	for i, address := range workers {
		calls.Go(func() (err error) {
			never[i], err = r.stopOn(ctx, address, attempt)
			return err
		})
	}
	if err := calls.Wait(); err != nil {
		return false, err
	}
	for _, n := range never {
		if !n {
			return false, nil
		}
	}
	return true, nil
}

func (r *rack) stopOn(ctx context.Context, address netip.AddrPort, attempt state.JobAttempt) (neverStarted bool, err error) {
	token, err := r.tokenFor("stop", address)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.keeper.Workers.Stop(ctx, address, token, attempt)
}

// Checkpoint makes the attempt's members on the rack save their state, and returns
// the saved state of each worker.
func (k *Keeper) Checkpoint(ctx context.Context, rackName string, attempt state.JobAttempt) (saved [][]byte, err error) {
	r, err := k.findRack(rackName)
	if err != nil {
		return nil, err
	}
	for _, address := range r.workersWith(attempt) {
		token, err := r.tokenFor("checkpoint", address)
		if err != nil {
			return nil, err
		}
		part, err := r.keeper.Workers.Checkpoint(ctx, address, token, attempt)
		if err != nil {
			return nil, err
		}
		saved = append(saved, part)
	}
	return saved, nil
}
