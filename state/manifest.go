package state

// Generation numbers accepted manifests; a higher one is newer.
type Generation uint64

// Weights says how much each measure counts in placement; they add up to 1.
type Weights struct {
	CompletionTime float64
	Fragmentation  float64
}

// Guarantee is capacity that an organisation can have on demand in one zone.
type Guarantee struct {
	AvailabilityZone string
	Members          int
	Shape            Resources
	Adjacency        Adjacency
}

// Total returns what the whole guarantee takes.
func (g Guarantee) Total() Resources {
	return g.Shape.Times(g.Members)
}

// Organisation is one organisation's policy.
type Organisation struct {
	Name string
	// Share is the weight in fair sharing above guarantees; it is above 0.
	Share float64
	// Quota is the most that the organisation may use in one zone; a zero amount is no limit.
	Quota Resources
	// BurstJobs is how many jobs the organisation may submit at once.
	BurstJobs int
	// JobsPerSecond is the steady rate of submission; 0 is no limit.
	JobsPerSecond float64
	Guarantees    []Guarantee
	// Changed is the generation that last changed this part of the manifest.
	Changed Generation
}

// Manifest is the whole configuration that operators apply.
type Manifest struct {
	Generation Generation
	Weights    Weights
	// Organisations is sorted by name.
	Organisations []Organisation
}
