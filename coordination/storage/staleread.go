package storage

import (
	"fmt"

	"comfreystream/state"
)

// OldData says that the store answers an older version than one that is known.
type OldData struct {
	Answered state.Version
	Known    state.Version
}

func (e *OldData) Error() string {
	return fmt.Sprintf("the store answers version %d, and %d is known", e.Answered, e.Known)
}
