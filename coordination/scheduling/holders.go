package scheduling

import (
	"net/netip"
	"time"

	"comfreystream/state/workflow"
)

const (
	// minEntryTrust bounds from below how long a worker's entry counts after another took
	// its place: a worker renews its own within a heartbeat.
	minEntryTrust = 3 * time.Second
	// entryTrustBeats is the same in heartbeats.
	entryTrustBeats = 2
)

// holder is the pool that renews a worker's lease and reads its reports, as only one may
// within a term: another would take the worker's tasks for unknown ones.
type holder struct {
	service string
	// entry is the newest registry entry that named the service; its address is invalid
	// if there was none in this term.
	entry workflow.Worker
	// otherSince is since when entries name another service; zero if the newest does not.
	otherSince time.Time
}

// life identifies a process of a worker, whatever it is registered as.
type life struct {
	address     netip.AddrPort
	incarnation workflow.Incarnation
}

func lifeOf(w *workflow.Worker) life { return life{w.Address, w.Incarnation} }

// holders assigns the registered workers to pools. Only SetWorkers uses it.
type holders struct {
	scheduler *Scheduler
	byWorker  map[workflow.WorkerID]*holder
	byLife    map[life]workflow.WorkerID
}

// assign returns the entries by which the pools are to go: those of a listing, less those
// that name a worker that another pool holds or that is registered twice.
func (h *holders) assign(list []workflow.Worker, listedAt time.Time) []workflow.Worker {
	listed := make(map[workflow.WorkerID]bool, len(list))
	assigned := make([]workflow.Worker, 0, len(list))
	for i := range list {
		listed[list[i].ID] = true
		if entry, use := h.assignOne(&list[i], listedAt); use {
			assigned = append(assigned, entry)
		}
	}
	for id, current := range h.byWorker {
		if !listed[id] && !h.scheduler.pool(current.service).holds(id) {
			h.drop(id, current)
		}
	}
	return assigned
}

func (h *holders) assignOne(w *workflow.Worker, listedAt time.Time) (entry workflow.Worker, use bool) {
	current, known := h.byWorker[w.ID]
	if !known {
		if other, taken := h.byLife[lifeOf(w)]; taken {
			h.ignore(w, "registered twice, also as "+string(other))
			return entry, false
		}
		h.mergeHolders(w)
		current = &holder{service: w.Service}
		h.byWorker[w.ID] = current
	}
	if h.scheduler.sharePool(current.service, w.Service) {
		current.service = w.Service
		h.note(current, w)
		return *w, true
	}
	if current.otherSince.IsZero() {
		current.otherSince = listedAt
		h.ignore(w, "held by service "+current.service)
	}
	if listedAt.Sub(current.otherSince) < max(minEntryTrust, entryTrustBeats*h.scheduler.Bounds.Heartbeat) {
		return current.entry, current.entry.Address.IsValid()
	}
	if !h.scheduler.pool(current.service).releaseWorker(w.ID) {
		return entry, false
	}
	h.drop(w.ID, current)
	return h.assignOne(w, listedAt)
}

// mergeHolders merges the pools in which tasks may run on a worker that was not listed in
// this term, by the stored progress, with that of the service that its entry names. The
// tasks were started there before their queue moved, or the entry is by another writer.
func (h *holders) mergeHolders(w *workflow.Worker) {
	for _, p := range h.scheduler.allPools() {
		if p.holds(w.ID) {
			h.scheduler.mergePools(h.scheduler.pool(w.Service), p)
		}
	}
}

func (h *holders) note(current *holder, w *workflow.Worker) {
	if was := lifeOf(&current.entry); h.byLife[was] == w.ID {
		delete(h.byLife, was)
	}
	current.entry, current.otherSince = *w, time.Time{}
	h.byLife[lifeOf(w)] = w.ID
}

func (h *holders) drop(id workflow.WorkerID, current *holder) {
	delete(h.byWorker, id)
	if was := lifeOf(&current.entry); h.byLife[was] == id {
		delete(h.byLife, was)
	}
}

func (h *holders) ignore(w *workflow.Worker, cause string) {
	h.scheduler.Count(workerIgnored)
	h.scheduler.Log.Warn().Str("event", "workerIgnored").Str("worker", string(w.ID)).Str("service", w.Service).
		Stringer("address", w.Address).Int64("life", int64(w.Incarnation)).Int64("revision", w.Beat).Str("cause", cause).Send()
}

// holds reports whether the pool renews the worker's lease, or tasks may run there.
func (p *pool) holds(id workflow.WorkerID) bool {
	p = p.lock()
	defer p.mu.Unlock()
	w, known := p.workers[id]
	return known && (w.renewing || len(w.members) > 0)
}

// releaseWorker ends the renewals of a worker whose entries name another service, and reports
// whether they have ended. While its tasks may run, or their ends are not stored, the pool
// keeps it, but places nothing there.
func (p *pool) releaseWorker(id workflow.WorkerID) bool {
	p = p.lock()
	defer p.mu.Unlock()
	w, known := p.workers[id]
	if !known {
		return true
	}
	w.released = true
	return !w.renewing && len(w.members) == 0
}

// endReleased reports whether a released worker needs no more renewals by this pool.
func (p *pool) endReleased(w *worker) bool {
	p = p.lock()
	defer p.mu.Unlock()
	if !w.released || w.info.registered || len(w.members) > 0 || w.lastSavedEnd < w.lastAppliedEnd {
		return false
	}
	w.renewing = false
	return true
}
