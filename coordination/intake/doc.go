// Package intake handles callers' requests on the instance that received them: it
// selects the queue, refuses requests with a reason, and stores jobs and
// cancellations before they are answered.
package intake
