package storage

import (
	"fmt"

	"comfreystream/state"
)

// StaleReadError reports that the store returned data older than a known version.
type StaleReadError struct {
	Returned state.Version
	Known    state.Version
}

func (e *StaleReadError) Error() string {
	return fmt.Sprintf("stale read: the store returned version %d, but version %d is known", e.Returned, e.Known)
}
