package hosted

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/pause"
	"comfreystream/coordination/scheduling"
	"comfreystream/platform"
	"comfreystream/state/workflow"
)

const (
	// maxEvacuationLines bounds the log lines on one reading of the evacuations.
	maxEvacuationLines = 16
	// evacuationMargin covers a worker's clock that runs slow while a start order is
	// valid, 2 % of 1.5 s, and the time between a reading and its use.
	evacuationMargin = 100 * time.Millisecond
)

// evacuationAge returns how old the newest reading may become before starts wait for the
// next, so that an evacuation is in force within the limit after it was written: the
// scheduler counts from the end of a reading, which takes up to registryTimeout.
func evacuationAge(limit time.Duration) time.Duration {
	if limit == 0 {
		return 0
	}
	return max(limit-registryTimeout-evacuationMargin, 2*registryInterval)
}

// followEvacuations reads the evacuated zones until the term ends.
func (t *term) followEvacuations() {
	i := t.instance
	notes := evacuationNotes{log: i.log, count: i.metrics.CountPlannerEvent}
	for t.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(t.ctx, registryTimeout)
		askedAt := time.Now()
		items, asOf, err := i.directStore.List(ctx, platform.EvacuationsPrefix)
		cancel()
		if took := time.Since(askedAt); err == nil && took > registryTimeout {
			err = errors.Errorf("read the evacuations: the answer came after %v", took)
		}
		if err == nil {
			t.scheduler.SetEvacuated(notes.apply(items, asOf, t.zones.Load()), asOf)
		} else if t.ctx.Err() == nil {
			i.log.Warn().Str("event", "evacuationsUnread").Err(err).Send()
		}
		pause.For(t.ctx, registryInterval)
	}
}

// evacuationNotes logs and counts what is unusual about the evacuations: each key once, as
// long as it exists and is not written again.
type evacuationNotes struct {
	log   zerolog.Logger
	count func(event string)
	// noted holds the revision of each key of the last reading, and what was noted.
	noted    map[string]note
	allNoted bool
}

// note is what was logged of a key.
type note struct {
	revision keyvalue.Revision
	event    string
}

// apply returns the zones that the keys evacuate. workerZones holds the zones of the
// registered workers; it is nil or empty as long as they are not known.
func (n *evacuationNotes) apply(items []keyvalue.Item, asOf keyvalue.Revision, workerZones *map[string]bool) map[string]bool {
	zones, noted := make(map[string]bool), make(map[string]note)
	known := workerZones != nil && len(*workerZones) > 0
	lines := 0
	for _, item := range items {
		zone, err := platform.DecodeEvacuation(item.Key)
		event := "evacuationRead"
		switch {
		case err != nil:
			event = scheduling.EvacuationUnreadable
		case known && !(*workerZones)[zone]:
			event = scheduling.EvacuatedZoneUnknown
		}
		if err == nil {
			zones[zone] = true
		}
		noted[item.Key] = note{item.Revision, event}
		if n.noted[item.Key] == noted[item.Key] {
			continue
		}
		if event != "evacuationRead" {
			n.count(event)
		}
		if lines++; lines <= maxEvacuationLines {
			n.log.Warn().Str("event", event).Str("key", item.Key).Int64("revision", int64(item.Revision)).Err(err).Send()
		}
	}
	n.noted = noted
	n.noteAll(zones, asOf, known && containsAll(zones, *workerZones))
	return zones
}

// noteAll logs and counts once that all zones are evacuated, so that nothing starts.
func (n *evacuationNotes) noteAll(zones map[string]bool, asOf keyvalue.Revision, all bool) {
	if all && !n.allNoted {
		n.count(scheduling.AllZonesEvacuated)
		n.log.Error().Str("event", scheduling.AllZonesEvacuated).Str("key", platform.EvacuationsPrefix).Int("zones", len(zones)).
			Int64("revision", int64(asOf)).Send()
	}
	n.allNoted = all
}

// containsAll reports whether every zone of the workers is evacuated.
func containsAll(zones, workerZones map[string]bool) bool {
	for zone := range workerZones {
		if !zones[zone] {
			return false
		}
	}
	return true
}

// zonesOf returns the availability zones of the workers.
func zonesOf(workers []workflow.Worker) *map[string]bool {
	zones := make(map[string]bool)
	for _, w := range workers {
		zones[w.AvailabilityZone] = true
	}
	return &zones
}
