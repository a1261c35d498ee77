// Package gang starts all members of a job or none: it holds every member
// under leases, starts them together, and on any failure stops every part.
package gang
