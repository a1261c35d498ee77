package dispatch

import "comfreystream/state"

// ApplyManifest applies a manifest to planning and admission; nil is ignored.
func (d *Dispatcher) ApplyManifest(manifest *state.Manifest) {
	if manifest == nil {
		return
	}
	d.Planner.ApplyManifest(manifest)
	d.Admission.Apply(manifest)
	d.manifestAppliedOnce.Do(func() { close(d.manifestApplied) })
	d.RequestPlan()
}
