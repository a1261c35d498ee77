package instance

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// leaveTimeout is how long a leaving entry waits for others to hear of it.
const leaveTimeout = time.Second

// Drain begins to take the entry out of use and returns at once: it takes no
// new work, hands its roles over, and finishes what is in flight.
func (i *Instance) Drain() {
	i.drainOnce.Do(func() { i.loops.Go(i.drain) })
}

// Drained is closed once nothing is in flight any more.
func (i *Instance) Drained() <-chan struct{} { return i.drained }

// drain hands the roles over first, so that the next homes take over while
// this entry still answers. The last entry of a zone has nobody to hand them
// to: it keeps them until what is in flight has ended.
func (i *Instance) drain() {
	defer close(i.drained)
	i.log.Info().Str("event", "drainBegun").Send()
	i.leaving.Store(true)
	if len(i.zonePeers()) > 0 {
		i.leaveRoles()
		i.finishRequests()
	} else {
		i.finishRequests()
		i.leaveRoles()
	}
	i.log.Info().Str("event", "drainEnded").Send()
}

func (i *Instance) leaveRoles() {
	ctx, cancel := context.WithTimeout(i.ctx, leaveTimeout)
	defer cancel()
	if err := i.members.Leave(ctx); err != nil {
		i.log.Warn().Str("event", "leaveUnheard").Err(err).Send()
	}
	i.seat.SetActive(false)
	_ = i.keeper.Close()
}

// finishRequests waits for the requests in flight; callers that wait longer
// than the limit are told where to ask.
func (i *Instance) finishRequests() {
	limit, stop := context.WithTimeout(i.ctx, i.settings.DrainLimit)
	defer stop()
	context.AfterFunc(limit, i.beginDrain)
	if err := i.server.Drain(i.ctx); err != nil {
		i.log.Warn().Str("event", "drainIncomplete").Err(err).Send()
	}
}

// Close drains the entry, then ends every loop and waits for it.
func (i *Instance) Close() error {
	i.Drain()
	<-i.drained
	i.cancel()
	i.beginDrain()
	i.loops.Wait()
	return i.release()
}

// Abandon ends the entry at once, as a crash would: nothing is handed over.
func (i *Instance) Abandon() error {
	i.drainOnce.Do(func() { close(i.drained) })
	i.cancel()
	i.beginDrain()
	endpointErr := i.endpoint.Close()
	_ = i.connections.Close()
	i.seat.SetActive(false)
	_ = i.keeper.Close()
	i.loops.Wait()
	return firstError(endpointErr, i.server.Close(), i.metrics.Close())
}

func (i *Instance) release() error {
	serverErr := i.server.Close()
	endpointErr := i.endpoint.Close()
	return firstError(serverErr, endpointErr, i.connections.Close(), i.metrics.Close())
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return errors.Wrap(err, "close entry")
		}
	}
	return nil
}
