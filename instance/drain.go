package instance

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// leaveTimeout is how long a leaving entry waits until other members have learnt that it leaves.
const leaveTimeout = time.Second

// Drain starts the shutdown of the entry and returns immediately: the entry
// accepts no new work, hands its roles over and finishes the requests in flight.
func (i *Instance) Drain() {
	i.drainOnce.Do(func() { i.loops.Go(i.drain) })
}

// Drained returns a channel that is closed once no request is in flight any more.
func (i *Instance) Drained() <-chan struct{} { return i.drained }

// drain hands the roles over first, so that other entries take over while this
// one still answers. The last entry of a zone cannot hand them over: it keeps
// them until the requests in flight have ended.
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
	i.plannerRole.SetActive(false)
	_ = i.keeper.Close()
}

// finishRequests waits for the requests in flight; after DrainLimit it ends
// the waits of callers, who can ask another entry for the outcome.
func (i *Instance) finishRequests() {
	limit, stop := context.WithTimeout(i.ctx, i.settings.DrainLimit)
	defer stop()
	context.AfterFunc(limit, i.beginDrain)
	if err := i.server.Drain(i.ctx); err != nil {
		i.log.Warn().Str("event", "drainIncomplete").Err(err).Send()
	}
}

// Close drains the entry, stops its goroutines, waits for them and releases its resources.
func (i *Instance) Close() error {
	i.Drain()
	<-i.drained
	i.cancel()
	i.beginDrain()
	i.loops.Wait()
	return i.release()
}

// Abandon stops the entry without a drain, to simulate a crash: nothing is handed over.
func (i *Instance) Abandon() error {
	i.drainOnce.Do(func() { close(i.drained) })
	i.cancel()
	i.beginDrain()
	endpointErr := i.endpoint.Close()
	_ = i.connections.Close()
	i.plannerRole.SetActive(false)
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
