package configcheck

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"

	"comfreystream/state"
)

// setting is one value of a configuration, with its path.
type setting struct {
	field string
	value string
}

// CompareManifests returns the values that differ, and a finding if the file names another
// generation to replace than the one in force.
func CompareManifests(inForce, file *state.Manifest) ([]Difference, []Finding) {
	var f findings
	if file.Generation != 0 && file.Generation != inForce.Generation {
		f.add(Error, "generation", "repeat the change on the manifest in force", "is %d, and generation %d is in force", file.Generation, inForce.Generation)
	}
	return differences(manifestSettings(inForce), manifestSettings(file)), f.list
}

// ComparePolicies returns the values that differ, and a finding if the file's version is too
// low to come into force.
func ComparePolicies(inForce, file *Policy) ([]Difference, []Finding) {
	var f findings
	list := differences(policySettings(inForce), policySettings(file))
	if len(list) > 0 && file.Version <= inForce.Version {
		f.add(Error, "version", fmt.Sprintf("write %d", inForce.Version+1), "is %d, and entries with version %d ignore it", file.Version, inForce.Version)
	}
	return list, f.list
}

// differences compares settings by their fields, in the order of the file's settings and
// then of those that only the configuration in force has.
func differences(inForce, file []setting) (list []Difference) {
	before := make(map[string]string, len(inForce))
	for _, s := range inForce {
		before[s.field] = s.value
	}
	for _, s := range file {
		if value, known := before[s.field]; !known || value != s.value {
			list = append(list, Difference{Field: s.field, InForce: value, File: s.value})
		}
		delete(before, s.field)
	}
	for _, s := range inForce {
		if value, left := before[s.field]; left {
			list = append(list, Difference{Field: s.field, InForce: value})
			delete(before, s.field)
		}
	}
	return list
}

func manifestSettings(m *state.Manifest) []setting {
	list := []setting{
		{"weights.completionTime", fmt.Sprint(m.Weights.CompletionTime)},
		{"weights.fragmentation", fmt.Sprint(m.Weights.Fragmentation)},
		{"evacuated", strings.Join(slices.Sorted(slices.Values(m.Evacuated)), ", ")},
	}
	for _, o := range m.Organisations {
		field := fmt.Sprintf("organisations[%s]", o.Name)
		list = append(list,
			setting{field + ".share", fmt.Sprint(o.Share)},
			setting{field + ".quota", amounts(o.Quota)},
			setting{field + ".burstJobs", fmt.Sprint(o.BurstJobs)},
			setting{field + ".jobsPerSecond", fmt.Sprint(o.JobsPerSecond)},
		)
		for i, g := range o.Guarantees {
			value := fmt.Sprintf("%d members in %s, %s, each %s", g.Members, g.AvailabilityZone, state.AdjacencyNames[g.Adjacency], amounts(g.Shape))
			list = append(list, setting{fmt.Sprintf("%s.guarantees[%d]", field, i), value})
		}
	}
	return list
}

func policySettings(p *Policy) []setting {
	list := []setting{{"bodyBytes", fmt.Sprint(p.BodyBytes)}, {"services", strings.Join(p.Services, ", ")}}
	for _, q := range p.Queues {
		field := fmt.Sprintf("queues[%s]", q.Name)
		list = append(list,
			setting{field + ".host", q.Host},
			setting{field + ".prefix", q.Prefix},
			setting{field + ".service", q.Service},
			setting{field + ".timeout", q.Timeout.String()},
			setting{field + ".startAllowance", q.StartAllowance.String()},
			setting{field + ".priority", fmt.Sprint(q.Priority)},
			setting{field + ".maxAttempts", fmt.Sprint(q.MaxAttempts)},
			setting{field + ".stretch", fmt.Sprint(q.Stretch)},
			setting{field + ".anonymous", fmt.Sprint(q.Anonymous)},
			setting{field + ".advice", fmt.Sprint(q.NeedsAdvice)},
		)
	}
	for _, o := range p.Organisations {
		field := fmt.Sprintf("organisations[%s]", o.Name)
		list = append(list, setting{field + ".keys", digest(o.Keys)}, setting{field + ".accelerators", fmt.Sprint(o.Accelerators)})
	}
	return list
}

// digest describes keys without showing them.
func digest(keys []string) string {
	sum := sha256.Sum256([]byte(strings.Join(slices.Sorted(slices.Values(keys)), "\x00")))
	return fmt.Sprintf("%d keys, digest %x", len(keys), sum[:4])
}
