package configcheck

import (
	"slices"
	"strings"
	"testing"

	"comfreystream/state"
)

// TestCheckManifest guards against guarantees that can never be met and pass unnoticed.
func TestCheckManifest(t *testing.T) {
	racks := []Rack{
		{"z", 2, state.Resources{Slots: 8, Accelerators: 8}},
		{"z", 4, state.Resources{Slots: 8, Accelerators: 8}},
		{"y", 1, state.Resources{Slots: 8}},
	}
	whole := state.Resources{Slots: 8, Accelerators: 8}
	one := func(g state.Guarantee) *state.Manifest {
		return &state.Manifest{Organisations: []state.Organisation{{Name: "o", Guarantees: []state.Guarantee{g}}}}
	}
	const guarantee = "organisations[0].guarantees[0]"
	tests := []struct {
		name     string
		manifest *state.Manifest
		racks    []Rack
		want     []string
	}{
		{"fits", one(state.Guarantee{AvailabilityZone: "z", Members: 4, Shape: whole, Adjacency: state.SameRack}), racks, nil},
		{"no organisation", &state.Manifest{}, racks, []string{"warning organisations"}},
		{"unknown zone", one(state.Guarantee{AvailabilityZone: "x", Members: 1, Shape: whole}), racks, []string{"error " + guarantee + ".availabilityZone"}},
		{"unknown workers", one(state.Guarantee{AvailabilityZone: "x", Members: 1, Shape: whole}), nil, nil},
		{"shape of no worker", one(state.Guarantee{AvailabilityZone: "y", Members: 1, Shape: whole}), racks, []string{"error " + guarantee + ".shape", "error organisations"}},
		{"over a rack", one(state.Guarantee{AvailabilityZone: "z", Members: 5, Shape: whole, Adjacency: state.SameRack}), racks, []string{"error " + guarantee + ".members"}},
		{"over the zone", one(state.Guarantee{AvailabilityZone: "z", Members: 7, Shape: whole}), racks, []string{"error " + guarantee + ".members", "error organisations"}},
		{"together over the zone", &state.Manifest{Organisations: []state.Organisation{
			{Name: "o", Guarantees: []state.Guarantee{{AvailabilityZone: "z", Members: 4, Shape: whole}}},
			{Name: "p", Guarantees: []state.Guarantee{{AvailabilityZone: "z", Members: 4, Shape: whole}}},
		}}, racks, []string{"error organisations"}},
		{"memory that overflows", &state.Manifest{Organisations: []state.Organisation{
			{Name: "o", Guarantees: []state.Guarantee{{AvailabilityZone: "z", Members: 1 << 20, Shape: state.Resources{MemoryBytes: 1 << 42}}, {AvailabilityZone: "z", Members: 1 << 20, Shape: state.Resources{MemoryBytes: 1 << 42}}}},
		}}, racks, []string{"error " + guarantee + ".shape", "error organisations[0].guarantees[1].shape", "error organisations"}},
		{"quota under the guarantee", &state.Manifest{Organisations: []state.Organisation{
			{Name: "o", Quota: state.Resources{Accelerators: 15}, Guarantees: []state.Guarantee{{AvailabilityZone: "z", Members: 2, Shape: whole}}},
		}}, nil, []string{"error organisations[0].quota"}},
		{"burst without a rate", &state.Manifest{Organisations: []state.Organisation{{Name: "o", BurstJobs: 3}}}, nil, []string{"warning organisations[0].burstJobs"}},
		{
			"evacuated", &state.Manifest{Evacuated: []string{"x", "y", "z"}, Organisations: one(state.Guarantee{AvailabilityZone: "z", Members: 1, Shape: whole}).Organisations}, racks,
			[]string{"warning " + guarantee, "warning evacuated", "warning evacuated[0]"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			check(t, CheckManifest(test.manifest, test.racks), test.want...)
		})
	}
}

// TestCompare guards against differences that are left out, keys that are shown, and versions
// that never come into force.
func TestCompare(t *testing.T) {
	p, _ := valid()
	changed, _ := valid()
	changed.Organisations[0].Keys = []string{"k1", "secret"}
	changed.Queues = changed.Queues[:1]
	changed.Queues[0].MaxAttempts = 9
	list, findings := ComparePolicies(p, changed)
	check(t, findings, "error version")
	var fields []string
	for _, d := range list {
		fields = append(fields, d.Field)
		if strings.Contains(d.File+d.InForce, "secret") {
			t.Errorf("%+v shows a key", d)
		}
	}
	if len(fields) != 12 || !slices.Contains(fields, "queues[a].maxAttempts") || !slices.Contains(fields, "queues[b].host") || !slices.Contains(fields, "organisations[o].keys") {
		t.Errorf("differences %q", fields)
	}
	if list, findings := ComparePolicies(p, p); len(list)+len(findings) > 0 {
		t.Errorf("a configuration differs from itself: %v, %v", list, findings)
	}
	m := &state.Manifest{Generation: 4, Evacuated: []string{"z"}}
	list, findings = CompareManifests(&state.Manifest{Generation: 5}, m)
	check(t, findings, "error generation")
	if len(list) != 1 || list[0] != (Difference{"evacuated", "", "z"}) {
		t.Errorf("differences %+v", list)
	}
}
