// Package message carries typed messages as JSON over HTTP between an
// instance and the platform's services, with errors that keep their step.
package message
