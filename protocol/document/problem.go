package document

import (
	"fmt"
	"strings"
)

// Problem is one refused place of a file; Line and Column count from 1, in bytes.
type Problem struct {
	File    string
	Line    int
	Column  int
	Field   string
	Message string
	Remedy  string
}

func (p Problem) String() string {
	place := fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
	if p.Field != "" {
		place += ": " + p.Field
	}
	return fmt.Sprintf("%s: %s; %s", place, p.Message, p.Remedy)
}

// Error lists every problem of a file, in the order in which they were met.
type Error struct {
	Problems []Problem
}

func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}
