package configcheck

import (
	"fmt"
	"math"
	"slices"

	"comfreystream/state"
)

// Rack holds equal workers of a rack.
type Rack struct {
	AvailabilityZone string
	Workers          int
	Capacity         state.Resources
}

// CheckManifest returns the findings about a manifest, with the indices of its organisations.
// If racks is empty, the workers count as unknown.
func CheckManifest(m *state.Manifest, racks []Rack) []Finding {
	var f findings
	if len(m.Organisations) == 0 {
		f.add(Warning, "organisations", "add an organisation", "are none, so that every job is refused")
	}
	for i, o := range m.Organisations {
		field := fmt.Sprintf("organisations[%d]", i)
		if o.BurstJobs > 0 && o.JobsPerSecond == 0 {
			f.add(Warning, field+".burstJobs", "set jobsPerSecond too, or remove burstJobs", "has no effect without a rate: no jobsPerSecond is no limit")
		}
		checkQuota(&f, field, o)
		for k, g := range o.Guarantees {
			checkGuarantee(&f, fmt.Sprintf("%s.guarantees[%d]", field, k), g, m.Evacuated, racks)
		}
	}
	checkZones(&f, m, racks)
	return f.list
}

// checkQuota reports guarantees of an organisation that exceed its own quota in a zone.
func checkQuota(f *findings, field string, o state.Organisation) {
	for _, zone := range guaranteedZones([]state.Organisation{o}) {
		wanted := guaranteedIn(zone, []state.Organisation{o})
		if !wanted.FitsIn(unlimitedIfZero(o.Quota)) {
			f.add(Error, field+".quota", "raise the quota or lower the guarantees", "is less than what is guaranteed in the zone %s: %s", zone, amounts(wanted))
		}
	}
}

func checkGuarantee(f *findings, field string, g state.Guarantee, evacuated []string, racks []Rack) {
	if slices.Contains(evacuated, g.AvailabilityZone) {
		f.add(Warning, field, "restore the zone or move the guarantee", "is in the evacuated zone %s, in which nothing new starts", g.AvailabilityZone)
	}
	if len(racks) == 0 {
		return
	}
	present, inZone, inRack := 0, 0, 0
	for _, r := range racks {
		if r.AvailabilityZone != g.AvailabilityZone {
			continue
		}
		// More than all members on one worker changes no result and could overflow.
		count := min(g.Shape.CountIn(r.Capacity), g.Members) * r.Workers
		present, inZone, inRack = present+r.Workers, inZone+count, max(inRack, count)
	}
	switch {
	case present == 0:
		f.add(Error, field+".availabilityZone", "use a zone with workers", "no worker is in the zone %q", g.AvailabilityZone)
	case inZone == 0:
		f.add(Error, field+".shape", "ask for what a worker has", "no worker of the zone %s has %s", g.AvailabilityZone, amounts(g.Shape))
	case g.Adjacency == state.SameRack && inRack < g.Members:
		f.add(Error, field+".members", "lower members or allow more racks", "is %d, and the largest rack of the zone %s has room for %d", g.Members, g.AvailabilityZone, inRack)
	case inZone < g.Members:
		f.add(Error, field+".members", "lower members", "is %d, and the zone %s has room for %d", g.Members, g.AvailabilityZone, inZone)
	}
}

// checkZones compares the sum of the guarantees of each zone with what its workers have, and
// the evacuated zones with those of the workers.
func checkZones(f *findings, m *state.Manifest, racks []Rack) {
	if len(racks) == 0 {
		return
	}
	capacity, left := make(map[string]state.Resources), false
	for _, r := range racks {
		capacity[r.AvailabilityZone] = plus(capacity[r.AvailabilityZone], r.Capacity.Times(r.Workers))
		left = left || !slices.Contains(m.Evacuated, r.AvailabilityZone)
	}
	if !left {
		f.add(Warning, "evacuated", "restore a zone", "lists every zone with workers, so that nothing new starts")
	}
	for i, zone := range m.Evacuated {
		if _, known := capacity[zone]; !known {
			f.add(Warning, fmt.Sprintf("evacuated[%d]", i), "correct the zone's name or remove it", "no worker is in the zone %q", zone)
		}
	}
	for _, zone := range guaranteedZones(m.Organisations) {
		wanted := guaranteedIn(zone, m.Organisations)
		if have, known := capacity[zone]; known && !wanted.FitsIn(have) {
			f.add(Error, "organisations", "lower the guarantees", "guarantee more in the zone %s than its workers have: %s of %s", zone, amounts(wanted), amounts(have))
		}
	}
}

// guaranteedZones returns the zones of the organisations' guarantees, sorted.
func guaranteedZones(organisations []state.Organisation) (zones []string) {
	for _, o := range organisations {
		for _, g := range o.Guarantees {
			zones = append(zones, g.AvailabilityZone)
		}
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// guaranteedIn returns the sum of the guarantees in a zone.
func guaranteedIn(zone string, organisations []state.Organisation) (sum state.Resources) {
	for _, o := range organisations {
		for _, g := range o.Guarantees {
			if g.AvailabilityZone == zone {
				sum = plus(sum, g.Total())
			}
		}
	}
	return sum
}

// plus returns the sum, in which memory stays at the largest number instead of overflowing:
// two guarantees of the largest size exceed it.
func plus(a, b state.Resources) state.Resources {
	sum := a.Plus(b)
	if sum.MemoryBytes < 0 {
		sum.MemoryBytes = math.MaxInt64
	}
	return sum
}

// unlimitedIfZero returns a quota with the largest number for each amount of 0, which is no limit.
func unlimitedIfZero(quota state.Resources) state.Resources {
	if quota.Slots == 0 {
		quota.Slots = math.MaxInt
	}
	if quota.Accelerators == 0 {
		quota.Accelerators = math.MaxInt
	}
	if quota.Cores == 0 {
		quota.Cores = math.MaxInt
	}
	if quota.MemoryBytes == 0 {
		quota.MemoryBytes = math.MaxInt64
	}
	return quota
}

func amounts(r state.Resources) string {
	return fmt.Sprintf("%d slots, %d accelerators, %d cores, %d bytes", r.Slots, r.Accelerators, r.Cores, r.MemoryBytes)
}
