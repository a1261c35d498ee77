package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answerTime is how long the store takes for an answer.
const answerTime = 4 * time.Millisecond

// historyKept is how long the store keeps its history.
const historyKept = 20 * time.Second

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"create_rev"`
	Lease     int64  `json:"lease"`
	Deleted   bool   `json:"deleted,omitempty"`
	at        time.Time
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

type txn struct {
	IfRev []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"if_rev"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

// writes reports whether the change writes a key with the prefix and suffix.
func (t *txn) writes(prefix, suffix string) bool {
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, prefix) && strings.HasSuffix(p.Key, suffix) {
			return true
		}
	}
	return false
}

// store is the platform's store. Each entry has an address of its own for it, so that
// the store can tell the entries apart.
type store struct {
	mu        sync.Mutex
	rev       int64
	items     map[string]*item
	history   []item
	compacted int64
	leases    map[int64]*storeLease
	changed   chan struct{}
	writeRate []time.Time

	// lose decides for a write whether its answer is lost, and after how long it is done.
	lose func(entry string, t *txn) (lost bool, after time.Duration)
	// txns and lost count the writes and those whose answer was lost.
	txns, lost int
	lastLost   time.Time
	// keeper is the entry that last renewed a lease: it acts for the system.
	keeper string
	log    func(format string, args ...any)
}

func newStore(log func(string, ...any)) *store {
	s := &store{rev: 1, items: map[string]*item{}, leases: map[int64]*storeLease{}, changed: make(chan struct{}), log: log}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *store) note(it item) {
	it.at = time.Now()
	s.history = append(s.history, it)
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyKept {
		s.compacted = s.history[0].Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) set(key string, value []byte, lease int64) {
	it := &item{Key: key, Value: value, Revision: s.rev, CreateRev: s.rev, Lease: lease}
	if old := s.items[key]; old != nil {
		it.CreateRev = old.CreateRev
	}
	s.items[key] = it
	s.note(*it)
}

func (s *store) remove(key string) {
	if s.items[key] != nil {
		delete(s.items, key)
		s.note(item{Key: key, Revision: s.rev, Deleted: true})
	}
}

// put and drop are the writes of the operator and the workers.
func (s *store) put(key string, value any) {
	text, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(key, text, 0)
}

func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(key)
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.rev++
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
}

// apply does a change; the caller holds the lock.
func (s *store) apply(t *txn) (int, any) {
	s.expire()
	held := true
	current := []item{}
	for _, c := range t.IfRev {
		var rev int64
		if it := s.items[c.Key]; it != nil {
			rev = it.Revision
			current = append(current, *it)
		}
		held = held && rev == c.Revision
	}
	if !held {
		return 412, map[string]any{"items": current}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return 404, map[string]any{}
		}
	}
	s.rev++
	for _, p := range t.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	return 200, map[string]any{"revision": s.rev}
}

func reply(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// handler serves the store to one entry.
func (s *store) handler(entry string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/kv-key", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		it := s.items[r.URL.Query().Get("key")]
		if it == nil {
			reply(w, 404, map[string]any{"as_of": s.rev})
			return
		}
		reply(w, 200, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "create_rev": it.CreateRev, "lease": it.Lease, "as_of": s.rev})
	})
	mux.HandleFunc("/kv-range", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
		keys := []string{}
		for key := range s.items {
			if strings.HasPrefix(key, prefix) && key > after {
				keys = append(keys, key)
			}
		}
		sort.Strings(keys)
		more := len(keys) > 500
		if more {
			keys = keys[:500]
		}
		items := []item{}
		for _, key := range keys {
			items = append(items, *s.items[key])
		}
		reply(w, 200, map[string]any{"items": items, "more_pages": more, "as_of": s.rev})
	})
	mux.HandleFunc("/kv-watch", func(w http.ResponseWriter, r *http.Request) {
		prefix := r.URL.Query().Get("prefix")
		after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
		for {
			s.mu.Lock()
			s.expire()
			if after < s.compacted {
				s.mu.Unlock()
				reply(w, 410, map[string]any{})
				return
			}
			events := []item{}
			for _, it := range s.history {
				if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
					events = append(events, it)
				}
			}
			asOf, changed := s.rev, s.changed
			s.mu.Unlock()
			if len(events) > 0 {
				reply(w, 200, map[string]any{"events": events, "as_of": asOf})
				return
			}
			select {
			case <-changed:
			case <-deadline:
				reply(w, 200, map[string]any{"events": events, "as_of": asOf})
				return
			case <-r.Context().Done():
				return
			}
		}
	})
	mux.HandleFunc("/kv-txn", func(w http.ResponseWriter, r *http.Request) {
		var t txn
		if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.IfRev)+len(t.Puts)+len(t.Deletes) > 32 {
			reply(w, 400, map[string]any{})
			return
		}
		for _, p := range t.Puts {
			if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
				reply(w, 403, map[string]any{})
				return
			}
		}
		s.mu.Lock()
		s.txns++
		if s.lose != nil {
			if lost, after := s.lose(entry, &t); lost {
				s.lost++
				s.lastLost = time.Now()
				keys := []string{}
				for _, p := range t.Puts {
					keys = append(keys, p.Key)
				}
				s.mu.Unlock()
				s.log("store: the answer of a write of %v by %s is lost; it is done %v later", keys, entry, after)
				time.AfterFunc(after, func() {
					s.mu.Lock()
					status, _ := s.apply(&t)
					s.mu.Unlock()
					s.log("store: the lost write of %v is done now, status %d", keys, status)
				})
				silent(w, r)
				return
			}
		}
		status, body := s.apply(&t)
		s.mu.Unlock()
		reply(w, status, body)
	})
	mux.HandleFunc("/kv-lease", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		ttl := max(body.TTL, 1000)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.rev++
		id := s.rev
		d := time.Duration(ttl) * time.Millisecond
		s.leases[id] = &storeLease{d, time.Now().Add(d)}
		reply(w, 200, map[string]any{"lease": id, "ttl_ms": ttl})
	})
	mux.HandleFunc("/kv-keep/", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-keep/"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		l := s.leases[id]
		if l == nil {
			reply(w, 404, map[string]any{})
			return
		}
		l.expires = time.Now().Add(l.ttl)
		s.keeper = entry
		reply(w, 200, map[string]any{})
	})
	mux.HandleFunc("/kv-lease-end/", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		if s.leases[id] == nil {
			reply(w, 404, map[string]any{})
			return
		}
		s.endLease(id)
		reply(w, 200, map[string]any{})
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(answerTime)
		mux.ServeHTTP(w, r)
	})
}

// silent answers nothing more on the connection; it returns once the caller has closed it.
func silent(w http.ResponseWriter, r *http.Request) {
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	go func() {
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
		for {
			if _, err := buffered.ReadByte(); err != nil {
				return
			}
		}
	}()
}

// leader returns the entry that acts for the system.
func (s *store) leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper
}
