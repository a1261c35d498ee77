package main

import "github.com/pkg/errors"

const (
	exitFailure = 1
	exitUsage   = 2
)

// usageError is a mistake in arguments, settings or a manifest; nothing was started.
type usageError struct {
	cause error
}

func (e *usageError) Error() string { return e.cause.Error() }

func (e *usageError) Unwrap() error { return e.cause }

func exitStatus(err error) int {
	var usage *usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailure
}
