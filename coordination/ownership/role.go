package ownership

import "comfreystream/state"

// RackHome returns the member, among the live ones of the rack's zone, that
// holds the tokens of the rack's workers.
func RackHome(rack state.Rack, members []state.Member) (state.Member, bool) {
	return Home("rack:"+rack.AvailabilityZone+"/"+rack.Name, members)
}

// Planner returns the member, among the live ones of the zone, that queues
// and places the zone's jobs.
func Planner(availabilityZone string, members []state.Member) (state.Member, bool) {
	return Home("zone:"+availabilityZone, members)
}

// Relay returns the member, among the live ones of the zone, that watches the
// store for the zone.
func Relay(availabilityZone string, members []state.Member) (state.Member, bool) {
	return Home("relay:"+availabilityZone, members)
}
