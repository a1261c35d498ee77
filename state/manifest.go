package state

// Generation is the version number of an accepted manifest; a higher one is newer.
type Generation uint64

// Weights sets the weight of each objective in placement; they add up to 1.
type Weights struct {
	CompletionTime float64
	Fragmentation  float64
}

// Guarantee is capacity that an organisation is entitled to on demand in one
// zone: room for a gang of Members, each of the given Shape.
type Guarantee struct {
	AvailabilityZone string
	Members          int
	Shape            Resources
	Adjacency        Adjacency
}

// Total returns the resources of the whole guarantee.
func (g Guarantee) Total() Resources {
	return g.Shape.Times(g.Members)
}

// Organisation holds the policy for one organisation.
type Organisation struct {
	Name string
	// Share is the organisation's weight in fair sharing of the capacity beyond guarantees; it is above 0.
	Share float64
	// Quota is the most that the organisation may use in one zone; 0 for a resource is no limit.
	Quota Resources
	// BurstJobs is how many jobs the organisation may submit in a burst.
	BurstJobs int
	// JobsPerSecond is the sustained rate of submission; 0 is no limit.
	JobsPerSecond float64
	Guarantees    []Guarantee
	// Changed is the generation that last changed this organisation's policy.
	Changed Generation
}

// Manifest is the scheduling configuration that operators apply.
type Manifest struct {
	Generation Generation
	Weights    Weights
	// Evacuated lists the availability zones in which nothing new starts, sorted.
	Evacuated []string
	// Organisations is sorted by name.
	Organisations []Organisation
}
