// Package backlog estimates how long new jobs would wait for their first start, and decides
// by that which jobs an entry refuses on arrival and when their callers may return.
package backlog
