// Package worker speaks to workers: JSON over HTTP until the workers' own
// protocol is published, which then replaces this package alone.
package worker
