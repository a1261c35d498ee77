package scheduling

import "comfreystream/coordination/speed"

// Counted events, besides the reasons for stops and the results of starts.
const (
	retryStart            = "retryStart"
	retryStop             = "retryStop"
	retrySave             = "retrySave"
	workerSilent          = "workerSilent"
	workerQuarantined     = "workerQuarantined"
	unknownAttemptStopped = "strangerStopped"
	workerLeaving         = "workerLeaving"
	workerIgnored         = "workerIgnored"
	recordRefused         = "recordRefused"
	checkpointsLeftOut    = "checkpointsLeftOut"
	zoneEvacuated         = "zoneEvacuated"
	zoneRestored          = "zoneRestored"
	// evacuationsOutdated counts readings of the evacuated zones that were older than
	// the known one, evacuationsStale planning rounds that placed nothing because the
	// newest was too old, or there was none yet.
	evacuationsOutdated = "evacuationsOutdated"
	evacuationsStale    = "evacuationsStale"
	guaranteeShort      = "guaranteeShort"
	// jobMoved counts the jobs that were assigned to another service than before, as their
	// queue was; poolsMerged how often two services began to share a pool.
	jobMoved    = "jobMoved"
	poolsMerged = "poolsMerged"
	// placementDelayed counts groups that were found to wait although workers have room.
	placementDelayed = "placementDelayed"
	// saveOverlapped counts the saves that began while another was under way.
	saveOverlapped = "saveOverlapped"
	// saveThrottled counts how often the number of saves under way was halved.
	saveThrottled = "saveThrottled"
	// endsLeftOut counts reports that do not list all ends.
	endsLeftOut = "endsLeftOut"
)

// The events of reading evacuations that the caller of SetEvacuated counts.
const (
	// EvacuationUnreadable: a key names no zone.
	EvacuationUnreadable = "evacuationUnreadable"
	// EvacuatedZoneUnknown: no registered worker is in the zone.
	EvacuatedZoneUnknown = "evacuatedZoneUnknown"
	// AllZonesEvacuated: every registered worker is in an evacuated zone.
	AllZonesEvacuated = "allZonesEvacuated"
)

// Events lists every counted event, so that each gets a counter.
var Events = []string{
	reasonCancelled, reasonIncomplete, reasonReclaimed, reasonDisplaced, reasonStalled, reasonMoved, reasonLeaving, reasonAlreadyDone,
	retryStart, retryStop, retrySave, workerSilent, workerQuarantined, workerLeaving, workerIgnored, unknownAttemptStopped,
	speed.WorkerChanged, speed.RecordNotSaved, speed.RecordUnreadable,
	endsLeftOut, recordRefused, checkpointsLeftOut, saveOverlapped, saveThrottled, reasonEvacuated,
	zoneEvacuated, zoneRestored, evacuationsOutdated, evacuationsStale, guaranteeShort, jobMoved, poolsMerged, placementDelayed,
	EvacuationUnreadable, EvacuatedZoneUnknown, AllZonesEvacuated,
	string(Started), string(RefusedTerm), string(RefusedRoom), string(RefusedLate), string(RefusedOld),
	string(RefusedUnhealthy), string(RefusedOtherWorker), string(RefusedInvalid),
}
