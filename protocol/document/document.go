package document

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

const (
	maxNesting  = 100
	maxProblems = 20
)

// Document is a file being decoded, with the problems found so far. It is not
// safe for concurrent use.
type Document struct {
	name     string
	data     []byte
	root     *hujson.Value
	problems []Problem
}

// Parse parses JSON with comments of at most maxBytes and returns the document
// with its root value; syntax errors and exceeded limits are an *Error.
func Parse(name string, data []byte, maxBytes int) (*Document, Node, error) {
	d := &Document{name: name, data: data}
	if len(data) > maxBytes {
		d.report(0, "", fmt.Sprintf("the file has %d bytes", len(data)), fmt.Sprintf("keep it within %d bytes", maxBytes))
		return d, Node{}, d.Err()
	}
	if offset, found := findExcessNesting(data); found {
		d.report(offset, "", "values are nested too deeply", fmt.Sprintf("nest at most %d levels", maxNesting))
		return d, Node{}, d.Err()
	}
	value, err := hujson.Parse(data)
	if err != nil {
		d.problems = append(d.problems, d.syntaxProblem(err))
		return d, Node{}, d.Err()
	}
	d.root = &value
	return d, Node{document: d, value: &value}, nil
}

// Err returns an *Error with the problems found so far, or nil.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	return &Error{Problems: d.problems}
}

func (d *Document) report(offset int, field, message, remedy string) {
	if len(d.problems) == maxProblems {
		return
	}
	d.problems = append(d.problems, d.ProblemAt(offset, field, message, remedy))
}

// ProblemAt returns a problem at an offset in bytes, which is bounded by the file's length.
func (d *Document) ProblemAt(offset int, field, message, remedy string) Problem {
	before := d.data[:min(max(offset, 0), len(d.data))]
	return Problem{
		File: d.name, Line: 1 + bytes.Count(before, []byte("\n")), Column: len(before) - bytes.LastIndexByte(before, '\n'),
		Field: field, Message: message, Remedy: remedy,
	}
}

// pointer turns a field's path into a JSON pointer (RFC 6901).
var pointer = strings.NewReplacer(".", "/", "[", "/", "]", "")

// Problem returns a problem at a field, such as routes[0].name, or at the closest value
// around it that the file has.
func (d *Document) Problem(field, message, remedy string) Problem {
	path := "/" + pointer.Replace(field)
	for path != "" {
		if value := d.root.Find(path); value != nil {
			return d.ProblemAt(value.StartOffset, field, message, remedy)
		}
		path = path[:strings.LastIndexByte(path, '/')]
	}
	return d.ProblemAt(d.root.StartOffset, field, message, remedy)
}

// syntaxProblem extracts line and column from the parser's message, the only
// place where the parser gives them.
func (d *Document) syntaxProblem(err error) Problem {
	p := Problem{File: d.name, Line: 1, Column: 1, Message: err.Error(), Remedy: "write JSON, in which comments are allowed"}
	source, message, found := strings.Cut(err.Error(), ": line ")
	if !found || source != "hujson" {
		return p
	}
	if _, err := fmt.Sscanf(message, "%d, column %d", &p.Line, &p.Column); err != nil {
		return p
	}
	if _, rest, found := strings.Cut(message, ": "); found {
		p.Message = rest
	}
	return p
}

// findExcessNesting returns the offset at which brackets are nested beyond
// maxNesting. Brackets in strings and comments count too, which only makes the
// limit stricter.
func findExcessNesting(data []byte) (offset int, found bool) {
	depth := 0
	for i, c := range data {
		switch c {
		case '{', '[':
			depth++
		case '}', ']':
			depth = max(depth-1, 0)
		}
		if depth > maxNesting {
			return i, true
		}
	}
	return 0, false
}
