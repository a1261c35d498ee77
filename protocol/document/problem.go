package document

import (
	"fmt"
	"strings"
)

// Problem describes a rejected value of a file. Line and Column count from 1;
// Column counts bytes.
type Problem struct {
	File    string
	Line    int
	Column  int
	Field   string
	Message string
	Remedy  string
}

func (p Problem) String() string {
	position := fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
	if p.Field != "" {
		position += ": " + p.Field
	}
	return fmt.Sprintf("%s: %s; %s", position, p.Message, p.Remedy)
}

// Error lists the problems of a file in the order in which they were found.
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
