// Package gang starts all members of a job or none. It holds resources for every
// member under leases, starts all members at once, and stops them all if any
// start fails.
package gang
