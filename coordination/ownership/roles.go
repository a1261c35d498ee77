package ownership

import "comfreystream/state"

// RackHome returns the home of the rack, the member that manages its workers and
// holds their tokens; members are the live members of the rack's zone.
func RackHome(rack state.Rack, members []state.Member) (state.Member, bool) {
	return Home("rack:"+rack.AvailabilityZone+"/"+rack.Name, members)
}

// Planner returns the member that queues and places the zone's jobs; members are the
// live members of the zone.
func Planner(availabilityZone string, members []state.Member) (state.Member, bool) {
	return Home("zone:"+availabilityZone, members)
}

// Relay returns the member that watches the store for the zone; members are the
// live members of the zone.
func Relay(availabilityZone string, members []state.Member) (state.Member, bool) {
	return Home("relay:"+availabilityZone, members)
}
