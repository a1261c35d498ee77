// Package lease is the home of racks: it holds the fencing token of each
// worker, takes and renews leases for the zone's planner, and reports changes to it.
package lease
