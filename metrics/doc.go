// Package metrics counts what an entry does and shows the counts on a page
// in the text format of Prometheus.
package metrics
