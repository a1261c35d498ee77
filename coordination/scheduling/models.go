package scheduling

import (
	"comfreystream/coordination/interference"
	"comfreystream/coordination/speed"
)

// models is what is learnt of one service: speeds estimates how fast its workers are,
// interference which kinds of work slow each other down there.
type models struct {
	speeds       *speed.Model
	interference *interference.Model
}

func newModels() *models { return &models{speed.New(), interference.New()} }

// modelsOf returns the models of the service that the worker is registered for. A worker
// that is known from stored progress alone counts for the service of the pool.
func (p *pool) modelsOf(w *worker) *models {
	if m, found := p.models[w.info.Service]; found {
		return m
	}
	return p.models[p.service]
}

// estimateSpeed returns the expected speed of the worker.
func (p *pool) estimateSpeed(w *worker) speed.Estimate { return p.modelsOf(w).speeds.Estimate(w.id) }
