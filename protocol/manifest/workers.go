package manifest

import (
	"comfreystream/coordination/configcheck"
	"comfreystream/protocol/document"
)

// DecodeWorkers decodes a file that describes racks of equal workers, for checks of a manifest;
// name is the file's name in error messages. An invalid file gives a *document.Error.
func DecodeWorkers(name string, data []byte) ([]configcheck.Rack, error) {
	d, root, err := document.Parse(name, data, maxFileBytes)
	if err != nil {
		return nil, err
	}
	var racks []configcheck.Rack
	for _, node := range root.Object("racks").Require("racks").List() {
		o := node.Object("availabilityZone", "workers", "capacity")
		racks = append(racks, configcheck.Rack{
			AvailabilityZone: o.Require("availabilityZone").Name(),
			Workers:          int(o.Require("workers").Integer(1, maxCount)),
			Capacity:         decodeResources(o.Require("capacity")),
		})
	}
	return racks, d.Err()
}
