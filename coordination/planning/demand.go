package planning

// Demand is how much an organisation uses and has queued in the zone, for admission
// control.
type Demand struct {
	// Jobs is the number of jobs queued in the zone, OrganisationJobs those of the
	// organisation.
	Jobs             int
	OrganisationJobs int
	// Share is the organisation's dominant share of the zone above its guarantees, divided
	// by its weight; FairShare is the mean Share of the organisations with queued jobs.
	Share     float64
	FairShare float64
}

// Demand returns the zone's and the organisation's demand.
func (p *Planner) Demand(organisation string) (demand Demand) {
	p.placementMu.Lock()
	defer p.placementMu.Unlock()
	waitingOrganisations, shareSum := 0, 0.0
	for _, q := range p.queues.all() {
		count := q.queuedCount()
		demand.Jobs += count
		share := p.shareOf(q)
		if count > 0 {
			waitingOrganisations++
			shareSum += share
		}
		if q.organisation.Name == organisation {
			demand.OrganisationJobs = count
			demand.Share = share
		}
	}
	if waitingOrganisations > 0 {
		demand.FairShare = shareSum / float64(waitingOrganisations)
	}
	return demand
}

func (q *queue) queuedCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.jobCount
}
