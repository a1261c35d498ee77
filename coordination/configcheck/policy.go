package configcheck

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"comfreystream/state/workflow"
)

// Policy is the operator's configuration as it is written, before defaults are applied and
// entries of the same name are merged.
type Policy struct {
	Version int64
	// BodyBytes is the most bytes in the body of a caller's request; 0 is no limit.
	BodyBytes int
	Queues    []workflow.Queue
	// Services lists the services that the configuration declares; if it is empty, the
	// queues' services are not compared with it.
	Services      []string
	Organisations []Organisation
}

// Organisation is one entry of the list of organisations.
type Organisation struct {
	Name         string
	Keys         []string
	Accelerators int
}

// Limits holds what contains the limits of a configuration.
type Limits struct {
	// SpecBytes is the most bytes of a job's spec.
	SpecBytes int
	// Wait is the longest time that an entry works on a request.
	Wait time.Duration
	// IDDigits is the number of hexadecimal digits of a job's ID, which follows a prefix.
	IDDigits int
}

// CheckPolicy returns the findings about a configuration. If workers is empty, the workers
// count as unknown.
func CheckPolicy(p *Policy, limits Limits, workers []workflow.Worker) []Finding {
	var f findings
	if p.Version < 1 {
		f.add(Error, "version", "write the version in force plus 1", "is %d", p.Version)
	}
	checkBody(&f, p.BodyBytes, limits)
	checkOrganisations(&f, p.Organisations)
	keys := 0
	for _, o := range p.Organisations {
		keys += len(o.Keys)
	}
	for i, q := range p.Queues {
		field := fmt.Sprintf("queues[%d]", i)
		checkQueueLimits(&f, field, q, limits)
		checkRoute(&f, field, p.Queues, i, limits)
		checkService(&f, field+".service", q.Service, p.Services, workers)
		if !q.Anonymous && keys == 0 {
			f.add(Error, field, "give an organisation a key", "is never used: the queue %q needs a key, and no organisation has one", q.Name)
		}
	}
	checkPolicyCapacity(&f, p, workers)
	return f.list
}

func checkBody(f *findings, bytes int, limits Limits) {
	switch {
	case bytes < 0:
		f.add(Error, "bodyBytes", "write 0 for no limit", "is %d", bytes)
	case bytes > 0 && bytes < limits.SpecBytes:
		f.add(Error, "bodyBytes", fmt.Sprintf("write more than %d", limits.SpecBytes),
			"is %d, less than the largest spec of a job, which has %d bytes", bytes, limits.SpecBytes)
	}
}

func checkQueueLimits(f *findings, field string, q workflow.Queue, limits Limits) {
	if q.MaxAttempts < 1 {
		f.add(Error, field+".maxAttempts", "write at least 1", "is %d, and counts as 1", q.MaxAttempts)
	}
	if q.Timeout < 0 {
		f.add(Error, field+".timeout", "write 0 for the default", "is %v", q.Timeout)
	}
	if q.Timeout > limits.Wait {
		f.add(Warning, field+".timeout", fmt.Sprintf("write at most %d", limits.Wait.Milliseconds()),
			"is %v, but an entry works on a request for %v at most", q.Timeout, limits.Wait)
	}
	if q.StartAllowance < 0 {
		f.add(Error, field+".startAllowance", "write 0 or more", "is %v", q.StartAllowance)
	}
	if q.Stretch < 1 {
		f.add(Error, field+".stretch", "write at least 1", "is %g: the jobs' targets are shorter than their work", q.Stretch)
	}
	if q.Priority < 0 {
		f.add(Error, field+".priority", "write 0 for the most urgent work", "is %d", q.Priority)
	}
}

// checkRoute reports a queue that gets no call, or not all of its own, by the rule of
// workflow.Policy.Match: of the host's prefixes of a path the longest counts, of equal ones
// the first.
func checkRoute(f *findings, field string, queues []workflow.Queue, index int, limits Limits) {
	q := queues[index]
	if !strings.HasPrefix(q.Prefix, "/") {
		f.add(Error, field+".prefix", "begin it with /", "%q can never match: each path begins with /", q.Prefix)
	}
	if q.Host == "" || strings.Contains(q.Host, ":") {
		f.add(Error, field+".host", "write the host's name without a port", "%q can never match", q.Host)
	}
	for i, other := range queues {
		if i == index {
			continue
		}
		if i < index && other.Name == q.Name {
			f.add(Error, field+".name", "give each queue a name of its own", "%q is also the name of an earlier queue", q.Name)
		}
		rest, extends := strings.CutPrefix(other.Prefix, q.Prefix)
		switch {
		case other.Host != q.Host || !extends:
		case rest == "" && i < index:
			f.add(Error, field+".prefix", "remove one of the two", "can never match: the queue %q has the same host and prefix and comes first", other.Name)
		case rest != "" && len(rest) <= limits.IDDigits && strings.Trim(rest, "0123456789abcdefABCDEF") == "":
			f.add(Error, field+".prefix", "end both prefixes with /", "loses the jobs whose IDs begin with %s to the queue %q, whose prefix is longer", rest, other.Name)
		}
	}
}

func checkService(f *findings, field, service string, declared []string, workers []workflow.Worker) {
	if service == "" || len(declared) > 0 && !slices.Contains(declared, service) {
		f.add(Error, field, "declare the service or correct its name", "%q is no declared service", service)
		return
	}
	ofService := func(w workflow.Worker) bool { return w.Service == service }
	if len(workers) > 0 && !slices.ContainsFunc(workers, ofService) {
		f.add(Error, field, "use a service that workers have", "no worker has the service %q", service)
	}
}

func checkOrganisations(f *findings, organisations []Organisation) {
	names, keys := make(map[string]bool), make(map[string]string)
	for i, o := range organisations {
		field := fmt.Sprintf("organisations[%d]", i)
		if o.Name == "" || names[o.Name] {
			f.add(Error, field+".name", "give each organisation a name of its own", "%q is empty or the name of an earlier organisation, which this one replaces", o.Name)
		}
		names[o.Name] = true
		if o.Accelerators < 0 {
			f.add(Error, field+".accelerators", "write 0 for no guarantee", "is %d", o.Accelerators)
		}
		for k, key := range o.Keys {
			// The message names no key: it may be shown where keys must not be.
			if owner, taken := keys[key]; taken || key == "" {
				f.add(Error, fmt.Sprintf("%s.keys[%d]", field, k), "use each key once", "is empty or listed before, for the organisation %q", owner)
			}
			keys[key] = o.Name
		}
	}
}

// maxAccelerators bounds one guarantee in sums, so that they do not overflow.
const maxAccelerators = 1 << 31

// checkPolicyCapacity compares the guarantees with the workers' accelerators. Each service
// has workers of its own, and a guarantee counts in each.
func checkPolicyCapacity(f *findings, p *Policy, workers []workflow.Worker) {
	wanted, all, byService := 0, 0, make(map[string]int)
	for _, o := range p.Organisations {
		wanted += min(max(o.Accelerators, 0), maxAccelerators)
	}
	urgent := func(q workflow.Queue) bool { return q.Priority == 0 }
	if wanted > 0 && !slices.ContainsFunc(p.Queues, urgent) {
		f.add(Warning, "organisations", "add a queue of priority 0", "guarantee %d accelerators, which only jobs of priority 0 get", wanted)
	}
	if len(workers) == 0 {
		return
	}
	for _, w := range workers {
		all += w.Capacity.Accelerators
		byService[w.Service] += w.Capacity.Accelerators
	}
	if wanted > all {
		f.add(Error, "organisations", "lower the guarantees", "guarantee %d accelerators, and the workers have %d", wanted, all)
		return
	}
	reported := make(map[string]bool)
	for i, q := range p.Queues {
		left, known := byService[q.Service]
		if known && wanted > left && !reported[q.Service] {
			reported[q.Service] = true
			f.add(Warning, fmt.Sprintf("queues[%d].service", i), "lower the guarantees, or keep their organisations out of the queue",
				"has %d accelerators, and %d are guaranteed", left, wanted)
		}
	}
}
