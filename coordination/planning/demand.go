package planning

// Demand is what an organisation uses and waits for, as admission sees it.
type Demand struct {
	// Jobs is the length of the zone's queue, OrganisationJobs the organisation's part of it.
	Jobs             int
	OrganisationJobs int
	// Share is the dominant share used above guarantees over the
	// organisation's weight, FairShare an equal part over all that wait.
	Share     float64
	FairShare float64
}

// Demand returns how much the zone's queue holds, and for the organisation.
func (p *Planner) Demand(organisation string) (demand Demand) {
	p.rounds.Lock()
	defer p.rounds.Unlock()
	waiting, used := 0, 0.0
	for _, q := range p.queues.all() {
		count := q.length()
		demand.Jobs += count
		share := p.shareOf(q)
		if count > 0 {
			waiting++
			used += share
		}
		if q.organisation.Name == organisation {
			demand.OrganisationJobs = count
			demand.Share = share
		}
	}
	if waiting > 0 {
		demand.FairShare = used / float64(waiting)
	}
	return demand
}

func (q *queue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.count
}
