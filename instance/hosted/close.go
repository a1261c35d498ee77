package hosted

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/pause"
)

const (
	// unreadyDelay is how long the platform may still route callers to an instance
	// that reports it is not ready: two readiness checks a second apart, and the
	// time that they take.
	unreadyDelay = 2500 * time.Millisecond
	// drainMargin is the part of the platform's grace period that is left for closing
	// after the drain.
	drainMargin = time.Second
)

// Close gives up the planner's term, serves until the platform routes no more callers
// here, answers the requests in flight and waits for every goroutine.
func (i *Instance) Close() error {
	began := time.Now()
	i.log.Info().Str("event", "drainBegun").Send()
	i.draining.Store(true)
	i.callerServer.DisableKeepAlives()
	i.candidate.Resign()
	pause.For(i.ctx, unreadyDelay)
	left := i.settings.Load().Grace - drainMargin - time.Since(began)
	ctx, cancel := context.WithTimeout(context.Background(), max(left, 0))
	defer cancel()
	if err := i.callerServer.Drain(ctx); err != nil {
		i.log.Warn().Str("event", "drainIncomplete").Err(err).Send()
	}
	// The port is closed right after the drain, so that new connections are refused
	// instead of accepted and then cut.
	if err := i.callerServer.Close(); err != nil {
		return errors.Wrap(err, "close the callers' port")
	}
	i.cancel()
	i.loops.Wait()
	i.log.Info().Str("event", "entryStopped").Dur("took", time.Since(began)).Send()
	return i.release()
}

// release closes the remaining servers, the clients and the metrics.
func (i *Instance) release() error {
	for _, c := range []interface{ Close() error }{i.readinessServer, i.entryServer, i.peerClient, i.storeClient, i.workerClient, i.metrics} {
		if err := c.Close(); err != nil {
			return errors.Wrap(err, "close entry")
		}
	}
	return nil
}
