package manifest

import (
	"encoding/json"

	"comfreystream/state"
)

type manifestFile struct {
	Format        int                `json:"format"`
	Generation    uint64             `json:"generation"`
	Weights       weightsFile        `json:"weights"`
	Evacuated     []string           `json:"evacuated,omitempty"`
	Organisations []organisationFile `json:"organisations"`
}

type weightsFile struct {
	CompletionTime float64 `json:"completionTime"`
	Fragmentation  float64 `json:"fragmentation"`
}

type organisationFile struct {
	Name          string          `json:"name"`
	Share         float64         `json:"share"`
	Quota         resourcesFile   `json:"quota,omitzero"`
	BurstJobs     int             `json:"burstJobs,omitempty"`
	JobsPerSecond float64         `json:"jobsPerSecond,omitempty"`
	Guarantees    []guaranteeFile `json:"guarantees,omitempty"`
}

type guaranteeFile struct {
	AvailabilityZone string        `json:"availabilityZone"`
	Members          int           `json:"members"`
	Shape            resourcesFile `json:"shape"`
	Adjacency        string        `json:"adjacency"`
}

type resourcesFile struct {
	Slots        int   `json:"slots,omitempty"`
	Accelerators int   `json:"accelerators,omitempty"`
	Cores        int   `json:"cores,omitempty"`
	MemoryBytes  int64 `json:"memoryBytes,omitempty"`
}

// Encode returns the canonical file of a manifest that Decode accepted: equal
// manifests give equal files.
func Encode(m *state.Manifest) []byte {
	file := manifestFile{
		Format:        formatVersion,
		Generation:    uint64(m.Generation),
		Weights:       weightsFile(m.Weights),
		Evacuated:     m.Evacuated,
		Organisations: make([]organisationFile, len(m.Organisations)),
	}
	for i := range m.Organisations {
		file.Organisations[i] = encodeOrganisation(&m.Organisations[i])
	}
	// Marshalling cannot fail: the fields are strings, numbers and lists of them,
	// and Decode accepts finite numbers only.
	data, _ := json.MarshalIndent(file, "", "  ")
	return append(data, '\n')
}

func encodeOrganisation(o *state.Organisation) organisationFile {
	file := organisationFile{
		Name:          o.Name,
		Share:         o.Share,
		Quota:         resourcesFile(o.Quota),
		BurstJobs:     o.BurstJobs,
		JobsPerSecond: o.JobsPerSecond,
	}
	for _, g := range o.Guarantees {
		file.Guarantees = append(file.Guarantees, guaranteeFile{
			AvailabilityZone: g.AvailabilityZone,
			Members:          g.Members,
			Shape:            resourcesFile(g.Shape),
			Adjacency:        state.AdjacencyNames[g.Adjacency],
		})
	}
	return file
}
