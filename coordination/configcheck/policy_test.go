package configcheck

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"comfreystream/state/workflow"
)

var testLimits = Limits{SpecBytes: 4000, Wait: 3 * time.Second, IDDigits: 16}

// valid returns a configuration without findings, and workers for it.
func valid() (*Policy, []workflow.Worker) {
	p := &Policy{
		Version: 7, BodyBytes: 5000, Services: []string{"s", "t"},
		Queues: []workflow.Queue{
			{Name: "a", Host: "h", Prefix: "/a/", Service: "s", Timeout: time.Second, MaxAttempts: 1, Stretch: 1.5},
			{Name: "b", Host: "h", Prefix: "/a/batch/", Service: "s", Priority: 2, MaxAttempts: 3, Stretch: 3},
		},
		Organisations: []Organisation{{"o", []string{"k1", "k2"}, 8}, {"p", nil, 8}},
	}
	workers := []workflow.Worker{
		{Service: "s", Capacity: workflow.Capacity{Accelerators: 16}},
		{Service: "t", Capacity: workflow.Capacity{Accelerators: 8}},
	}
	return p, workers
}

// check compares the fields and severities of findings with want, such as "error version".
func check(t *testing.T, got []Finding, want ...string) {
	t.Helper()
	var list []string
	for _, f := range got {
		list = append(list, string(f.Severity)+" "+f.Field)
		if f.Message == "" || f.Remedy == "" {
			t.Errorf("%+v lacks a message or a remedy", f)
		}
	}
	if !slices.Equal(list, want) {
		t.Errorf("findings %q, want %q: %+v", list, want, got)
	}
}

// TestCheckPolicy guards against contradictions that pass unnoticed, and against findings
// about a configuration that is sound.
func TestCheckPolicy(t *testing.T) {
	tests := []struct {
		name   string
		change func(p *Policy)
		want   []string
	}{
		{"sound", func(*Policy) {}, nil},
		{"no version", func(p *Policy) { p.Version = 0 }, []string{"error version"}},
		{"no attempts", func(p *Policy) { p.Queues[1].MaxAttempts = 0 }, []string{"error queues[1].maxAttempts"}},
		{"stretch below the work", func(p *Policy) { p.Queues[0].Stretch = 0.9 }, []string{"error queues[0].stretch"}},
		{"timeout at the entry's", func(p *Policy) { p.Queues[0].Timeout = 3 * time.Second }, nil},
		{"timeout over the entry's", func(p *Policy) { p.Queues[0].Timeout = 3001 * time.Millisecond }, []string{"warning queues[0].timeout"}},
		{"negative times", func(p *Policy) { p.Queues[0].Timeout, p.Queues[0].StartAllowance = -1, -1 }, []string{"error queues[0].timeout", "error queues[0].startAllowance"}},
		{"negative priority", func(p *Policy) { p.Queues[1].Priority = -1 }, []string{"error queues[1].priority"}},
		{"body of a whole spec", func(p *Policy) { p.BodyBytes = 4000 }, nil},
		{"body under the spec", func(p *Policy) { p.BodyBytes = 3999 }, []string{"error bodyBytes"}},
		{"no body limit", func(p *Policy) { p.BodyBytes = 0 }, nil},
		{"same host and prefix", func(p *Policy) { p.Queues[1].Prefix = "/a/" }, []string{"error queues[1].prefix"}},
		{"same prefix, other host", func(p *Policy) { p.Queues[1].Prefix, p.Queues[1].Host = "/a/", "i" }, nil},
		{"prefix that takes IDs", func(p *Policy) { p.Queues[1].Prefix = "/a/Fe" }, []string{"error queues[0].prefix"}},
		{"prefix longer than an ID", func(p *Policy) { p.Queues[1].Prefix = "/a/00000000000000000" }, nil},
		{"prefix without a slash", func(p *Policy) { p.Queues[0].Prefix = "a/" }, []string{"error queues[0].prefix"}},
		{"host with a port", func(p *Policy) { p.Queues[0].Host = "h:80" }, []string{"error queues[0].host"}},
		{"two queues of a name", func(p *Policy) { p.Queues[1].Name = "a" }, []string{"error queues[1].name"}},
		{"undeclared service", func(p *Policy) { p.Queues[1].Service = "u" }, []string{"error queues[1].service"}},
		{"service of no worker", func(p *Policy) { p.Services, p.Queues[1].Service = nil, "u" }, []string{"error queues[1].service"}},
		{"key of two organisations", func(p *Policy) { p.Organisations[1].Keys = []string{"k2"} }, []string{"error organisations[1].keys[0]"}},
		{"organisation listed twice", func(p *Policy) { p.Organisations[1].Name = "o" }, []string{"error organisations[1].name"}},
		{"nobody has a key", func(p *Policy) { p.Organisations[0].Keys, p.Queues[0].Anonymous = nil, true }, []string{"error queues[1]"}},
		{"negative guarantee", func(p *Policy) { p.Organisations[0].Accelerators = -1 }, []string{"error organisations[0].accelerators"}},
		{"guarantees over a service", func(p *Policy) { p.Organisations[0].Accelerators = 9 }, []string{"warning queues[0].service"}},
		{"guarantees over all workers", func(p *Policy) { p.Organisations[0].Accelerators = 17 }, []string{"error organisations"}},
		{"guarantees that overflow", func(p *Policy) { p.Organisations[0].Accelerators, p.Organisations[1].Accelerators = 1<<62, 1<<62 }, []string{"error organisations"}},
		{"guarantees without urgent work", func(p *Policy) { p.Queues[0].Priority = 1 }, []string{"warning organisations"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, workers := valid()
			test.change(p)
			check(t, CheckPolicy(p, testLimits, workers), test.want...)
		})
	}
}

// TestShadowedByMatch draws queues and guards against findings about routes that differ from
// what workflow.Policy.Match does with the calls.
func TestShadowedByMatch(t *testing.T) {
	const seed, rounds = 11, 2000
	random := rand.New(rand.NewPCG(seed, seed))
	parts := []string{"a", "a/", "0", "x", "/"}
	for range rounds {
		p := &workflow.Policy{}
		for i := range 1 + random.IntN(4) {
			prefix := "/"
			for range random.IntN(4) {
				prefix += parts[random.IntN(len(parts))]
			}
			p.Queues = append(p.Queues, workflow.Queue{Name: fmt.Sprint(i), Host: "h", Prefix: prefix})
		}
		for i, q := range p.Queues {
			var f findings
			checkRoute(&f, "queue", p.Queues, i, testLimits)
			lost := false
			for _, digits := range []string{"0", "a", "0a", "a0", "aa", "00", "b", "000", "aaa", "0aa", "a00", "0a0", "a0a", "aa0", "00a"} {
				id := digits + strings.Repeat("f", testLimits.IDDigits-len(digits))
				got, _ := p.Match(q.Host, q.Prefix+id)
				lost = lost || got.Name != q.Name
			}
			if lost != (len(f.list) > 0) {
				t.Fatalf("queue %d of %+v loses calls: %v, findings %+v", i, p.Queues, lost, f.list)
			}
		}
	}
}
