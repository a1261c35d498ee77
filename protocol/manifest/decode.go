package manifest

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"comfreystream/protocol/document"
	"comfreystream/state"
)

const (
	formatVersion   = 1
	maxFileBytes    = 4 << 20
	maxCount        = 1 << 20
	maxMemoryBytes  = 1 << 42
	maxShareOrRate  = 1e6
	minShare        = 1e-6
	weightTolerance = 1e-9
)

// Decode decodes and validates a manifest file; name is the file's name in error
// messages. An invalid file gives a *document.Error with the position and remedy
// of each problem. Decode does not check whether the guarantees fit the zones.
func Decode(name string, data []byte) (*state.Manifest, error) {
	m, _, err := DecodeInOrder(name, data)
	if err != nil {
		return nil, err
	}
	slices.Sort(m.Evacuated)
	slices.SortStableFunc(m.Organisations, func(a, b state.Organisation) int { return cmp.Compare(a.Name, b.Name) })
	return m, nil
}

// DecodeInOrder decodes like Decode, but keeps zones and organisations in the file's order, so
// that their indices are those of the document's fields.
func DecodeInOrder(name string, data []byte) (*state.Manifest, *document.Document, error) {
	d, root, err := document.Parse(name, data, maxFileBytes)
	if err != nil {
		return nil, nil, err
	}
	m := decodeManifest(root)
	if err := d.Err(); err != nil {
		return nil, nil, err
	}
	return m, d, nil
}

func decodeManifest(root document.Node) *state.Manifest {
	o := root.Object("format", "generation", "weights", "evacuated", "organisations")
	o.Require("format").Integer(formatVersion, formatVersion)
	return &state.Manifest{
		Generation:    state.Generation(o.Get("generation").Integer(0, math.MaxInt64)),
		Weights:       decodeWeights(o.Require("weights")),
		Evacuated:     decodeEvacuated(o.Get("evacuated")),
		Organisations: decodeOrganisations(o.Require("organisations")),
	}
}

func decodeWeights(n document.Node) state.Weights {
	o := n.Object("completionTime", "fragmentation")
	w := state.Weights{
		CompletionTime: o.Require("completionTime").Number(0, 1),
		Fragmentation:  o.Require("fragmentation").Number(0, 1),
	}
	if sum := w.CompletionTime + w.Fragmentation; math.Abs(sum-1) > weightTolerance {
		n.ReportProblem(fmt.Sprintf("add up to %g", sum), "make the weights add up to 1")
	}
	return w
}

func decodeEvacuated(n document.Node) (zones []string) {
	for _, node := range n.List() {
		zone := node.Name()
		if slices.Contains(zones, zone) && zone != "" {
			node.ReportProblem(fmt.Sprintf("%q is listed twice", zone), "list each zone once")
		}
		zones = append(zones, zone)
	}
	return zones
}

func decodeOrganisations(n document.Node) []state.Organisation {
	nodes := n.List()
	organisations := make([]state.Organisation, 0, len(nodes))
	seen := make(map[string]int, len(nodes))
	for i, node := range nodes {
		organisation, name := decodeOrganisation(node)
		if first, duplicate := seen[organisation.Name]; duplicate && name.Exists() {
			name.ReportProblem(fmt.Sprintf("%q is also the name of organisations[%d]", organisation.Name, first), "give each organisation a unique name")
		}
		seen[organisation.Name] = i
		organisations = append(organisations, organisation)
	}
	return organisations
}

func decodeOrganisation(n document.Node) (organisation state.Organisation, name document.Node) {
	o := n.Object("name", "share", "quota", "burstJobs", "jobsPerSecond", "guarantees")
	name = o.Require("name")
	organisation = state.Organisation{
		Name:          name.Name(),
		Share:         o.Require("share").Number(minShare, maxShareOrRate),
		Quota:         decodeResources(o.Get("quota")),
		BurstJobs:     int(o.Get("burstJobs").Integer(0, maxCount)),
		JobsPerSecond: o.Get("jobsPerSecond").Number(0, maxShareOrRate),
		Guarantees:    decodeGuarantees(o.Get("guarantees")),
	}
	return organisation, name
}

func decodeGuarantees(n document.Node) (guarantees []state.Guarantee) {
	for _, node := range n.List() {
		guarantees = append(guarantees, decodeGuarantee(node))
	}
	return guarantees
}

func decodeGuarantee(n document.Node) state.Guarantee {
	o := n.Object("availabilityZone", "members", "shape", "adjacency")
	shape := o.Require("shape")
	guarantee := state.Guarantee{
		AvailabilityZone: o.Require("availabilityZone").Name(),
		Members:          int(o.Require("members").Integer(1, maxCount)),
		Shape:            decodeResources(shape),
		Adjacency:        state.Adjacency(o.Get("adjacency").Choice(state.AdjacencyNames...)),
	}
	if guarantee.Shape == (state.Resources{}) {
		shape.ReportProblem("requests no resources", "give slots, accelerators, cores or memoryBytes")
	}
	return guarantee
}

func decodeResources(n document.Node) state.Resources {
	o := n.Object("slots", "accelerators", "cores", "memoryBytes")
	return state.Resources{
		Slots:        int(o.Get("slots").Integer(0, maxCount)),
		Accelerators: int(o.Get("accelerators").Integer(0, maxCount)),
		Cores:        int(o.Get("cores").Integer(0, maxCount)),
		MemoryBytes:  o.Get("memoryBytes").Integer(0, maxMemoryBytes),
	}
}
