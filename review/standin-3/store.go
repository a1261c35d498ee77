package main

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeDelay is how long an answer of the store takes.
	storeDelay = 4 * time.Millisecond
	// maxChangeEntries bounds the entries of one change, pageItems the items of a page.
	maxChangeEntries, pageItems = 32, 500
	// minLease and maxWatch bound what a call may ask for.
	minLease, maxWatch = time.Second, 30 * time.Second
)

// item is a key in the store, or a deleted one in a list of events.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"create_rev,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the platform's store. It listens once for each node, so that it can tell which
// one a call comes from.
type store struct {
	record *record

	mu       sync.Mutex
	revision int64
	items    map[string]item
	events   []item
	leases   map[int64]*storeLease
	changed  chan struct{}
	// renewedBy is the node that renewed a lease last.
	renewedBy int
}

func newStore(r *record) *store {
	return &store{record: r, revision: 1, items: make(map[string]item), leases: make(map[int64]*storeLease), changed: make(chan struct{}), renewedBy: -1}
}

// listen serves one node's calls until the context ends.
func (s *store) listen(ctx context.Context, node int) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	mux.HandleFunc("POST /kv-txn", s.serveChange)
	mux.HandleFunc("POST /kv-lease", s.serveGrant)
	mux.HandleFunc("POST /kv-keep/{id}", func(w http.ResponseWriter, r *http.Request) { s.serveRenewal(w, r, node) })
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.serveLeaseEnd)
	delayed := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		mux.ServeHTTP(w, r)
	})
	serve(ctx, listener, delayed)
	return listener.Addr().String(), nil
}

// serve serves HTTP on the listener until the context ends.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// lastRenewer returns the node that renewed a lease last, which is the one that plans.
func (s *store) lastRenewer() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.renewedBy
}

// put writes a key on behalf of the operator or a worker.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, text, 0)
	s.notify()
}

func (s *store) set(key string, value []byte, lease int64) {
	created := s.revision
	if old, found := s.items[key]; found {
		created = old.Created
	}
	s.items[key] = item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.events = append(s.events, s.items[key])
}

func (s *store) unset(key string) {
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases that have run out. The caller holds the lock.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.unset(key)
		}
	}
	s.notify()
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	found, known := s.items[r.URL.Query().Get("key")]
	if !known {
		answer(w, http.StatusNotFound, map[string]int64{"as_of": s.revision})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		AsOf int64 `json:"as_of"`
	}{found, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	items, more := []item{}, false
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || after != "" && key <= after {
			continue
		}
		if len(items) == pageItems {
			more = true
			break
		}
		items = append(items, s.items[key])
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "more_pages": more, "as_of": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	timeout := time.After(min(time.Duration(wait)*time.Millisecond, maxWatch))
	for {
		s.mu.Lock()
		s.expire()
		events, asOf, changed := []item{}, s.revision, s.changed
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		body := map[string]any{"events": events, "as_of": asOf}
		if len(events) > 0 {
			answer(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-time.After(100 * time.Millisecond): // a lease may have run out
		case <-timeout:
			answer(w, http.StatusOK, body)
			return
		case <-r.Context().Done():
			return
		}
	}
}

type storeChange struct {
	Conditions []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"if_rev"`
	Puts    []item   `json:"puts"`
	Deletes []string `json:"deletes"`
}

func (s *store) serveChange(w http.ResponseWriter, r *http.Request) {
	var change storeChange
	if json.NewDecoder(r.Body).Decode(&change) != nil || len(change.Conditions)+len(change.Puts)+len(change.Deletes) > maxChangeEntries {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current, holds := []item{}, true
	for _, c := range change.Conditions {
		found, known := s.items[c.Key]
		if known {
			current = append(current, found)
		}
		holds = holds && found.Revision == c.Revision
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range change.Puts {
		if _, known := s.leases[p.Lease]; p.Lease != 0 && !known {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			answer(w, http.StatusForbidden, struct{}{})
			return
		}
	}
	s.revision++
	for _, p := range change.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range change.Deletes {
		if _, known := s.items[key]; known {
			s.unset(key)
		}
	}
	s.notify()
	answer(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := max(time.Duration(body.TTL)*time.Millisecond, minLease)
	s.leases[s.revision] = &storeLease{ttl, time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]int64{"lease": s.revision, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) serveRenewal(w http.ResponseWriter, r *http.Request, node int) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, known := s.leases[id]
	if !known {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	s.renewedBy = node
	answer(w, http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.leases[id]; !known {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	s.endLease(id)
	answer(w, http.StatusOK, struct{}{})
}
