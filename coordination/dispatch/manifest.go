package dispatch

import "comfreystream/state"

// ApplyManifest puts a manifest in force for what comes next; nil is ignored.
func (d *Dispatcher) ApplyManifest(manifest *state.Manifest) {
	if manifest == nil {
		return
	}
	d.Planner.ApplyManifest(manifest)
	d.Admission.Apply(manifest)
	d.governing.Do(func() { close(d.governed) })
	d.Signal()
}
