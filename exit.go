package main

import "github.com/pkg/errors"

const (
	exitFailure = 1
	exitUsage   = 2
)

// usageError is an error in the arguments, the settings or a manifest, found
// before anything was started; its exit status is exitUsage.
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
