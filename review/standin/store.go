package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeDelay is how long the platform's store takes for an answer.
	storeDelay = 4 * time.Millisecond
	// pageItems is how many items a page of a range holds.
	pageItems = 500
	// valueBytes is the most bytes of a value.
	valueBytes = 1 << 20
)

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"create_rev,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Deleted   bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the platform's store.
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	changed  chan struct{}
	// tooLarge counts the changes that were refused for a value over valueBytes,
	// largest is the largest such value.
	tooLarge, largest int
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(), revision: 100, items: make(map[string]item),
		leases: make(map[int64]*lease), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.commit)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		s.mu.Lock()
		s.expire()
		s.mu.Unlock()
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(listener) }()
	go func() {
		for {
			time.Sleep(10 * time.Millisecond)
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s, nil
}

func reply(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func readBody(r *http.Request, body any) bool {
	text, err := io.ReadAll(r.Body)
	return err == nil && json.Unmarshal(text, body) == nil
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]int64{"as_of": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		AsOf int64 `json:"as_of"`
	}{found, s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	items = items[:min(len(items), pageItems)]
	reply(w, http.StatusOK, map[string]any{"items": items, "more_pages": more, "as_of": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var change struct {
		IfRev []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"if_rev"`
		Puts    []item   `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if !readBody(r, &change) || len(change.IfRev)+len(change.Puts)+len(change.Deletes) > 32 {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, put := range change.Puts {
		if len(put.Value) > valueBytes {
			s.tooLarge++
			s.largest = max(s.largest, len(put.Value))
			reply(w, http.StatusBadRequest, map[string]string{"reason": "value"})
			return
		}
	}
	for _, condition := range change.IfRev {
		if s.items[condition.Key].Revision != condition.Revision {
			current := []item{}
			for _, c := range change.IfRev {
				if i, found := s.items[c.Key]; found {
					current = append(current, i)
				}
			}
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
			return
		}
	}
	for _, put := range change.Puts {
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.apply(change.Puts, change.Deletes)
	reply(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

// apply makes one change; the caller holds the lock.
func (s *store) apply(puts []item, deletes []string) {
	s.revision++
	for _, put := range puts {
		put.Revision, put.CreateRev = s.revision, s.revision
		if old, found := s.items[put.Key]; found {
			put.CreateRev = old.CreateRev
		}
		s.items[put.Key] = put
		s.history = append(s.history, put)
	}
	for _, key := range deletes {
		if _, found := s.items[key]; found {
			delete(s.items, key)
			s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or a worker; remove deletes one.
func (s *store) put(key string, value any) {
	text, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]item{{Key: key, Value: text}}, nil)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[key]; found {
		s.apply(nil, []string{key})
	}
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if !readBody(r, &body) || body.TTL < 1000 {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.revision] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]int64{"lease": s.revision, "ttl_ms": body.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, found := s.leases[id]
	if !found {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, struct{}{})
}

// expire ends the leases whose time is over; the caller holds the lock.
func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.apply(nil, keys)
	}
}
