package workflow

import (
	"strings"
	"time"
)

// Policy is the operator's configuration of one version.
type Policy struct {
	Version int64
	Queues  []Queue
	// BodyBytes bounds the body of a caller's request; 0 is no bound.
	BodyBytes int
	// Guarantees holds, by organisation, the accelerators that it can always have
	// for its most urgent jobs; Keys names the organisation of a caller's key.
	Guarantees map[string]int
	Keys       map[string]string
}

// Queue takes jobs at a path of a host for one service.
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
	// Anonymous queues take calls without a key.
	Anonymous bool
	// Advised queues run only where an outside service allows it.
	Advised bool
}

// Match returns the queue with the longest prefix of the path on the host.
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
