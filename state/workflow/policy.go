package workflow

import (
	"strings"
	"time"
)

// Policy is one version of the operator's configuration.
type Policy struct {
	Version int64
	Queues  []Queue
	// BodyBytes is the most bytes in the body of a caller's request; 0 is no limit.
	BodyBytes int
	// Guarantees maps an organisation to the number of accelerators guaranteed
	// to its jobs of the highest priority.
	Guarantees map[string]int
	// Keys maps a caller's API key to its organisation.
	Keys map[string]string
}

// Queue accepts the jobs for one service that are submitted under a host and path prefix.
type Queue struct {
	Name           string
	Host           string
	Prefix         string
	Service        string
	Timeout        time.Duration
	StartAllowance time.Duration
	Priority       int
	MaxAttempts    int
	Stretch        float64
	// Anonymous is set for a queue that accepts calls without a key.
	Anonymous bool
	// NeedsAdvice is set for a queue whose jobs need the consent of an external service.
	NeedsAdvice bool
}

// Queue returns the queue with the name.
func (p *Policy) Queue(name string) (*Queue, bool) {
	for i := range p.Queues {
		if p.Queues[i].Name == name {
			return &p.Queues[i], true
		}
	}
	return nil, false
}

// Match returns the host's queue with the longest prefix that the path starts with.
func (p *Policy) Match(host, path string) (*Queue, bool) {
	var best *Queue
	for i := range p.Queues {
		q := &p.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best, best != nil
}
