// Package metrics holds an entry's metrics and serves them in the text format of
// Prometheus.
package metrics
