package document

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

const maxTextBytes = 256

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Node is a value in a document. The zero Node is an absent value; its accessors
// return zero values and report no problem.
type Node struct {
	document *Document
	value    *hujson.Value
	path     string
}

// Exists reports whether the value is present in the file.
func (n Node) Exists() bool { return n.value != nil }

// ReportProblem adds a problem at the position of the value to the document.
func (n Node) ReportProblem(message, remedy string) {
	if n.Exists() {
		n.document.report(n.value.StartOffset, n.path, message, remedy)
	}
}

// Object decodes an object and reports members other than those named.
func (n Node) Object(members ...string) Object {
	o := Object{node: n}
	if !n.Exists() {
		return o
	}
	object, isObject := n.value.Value.(*hujson.Object)
	if !isObject {
		n.ReportProblem("is not an object", `write it as {"`+strings.Join(members, `": ..., "`)+`": ...}`)
		return o
	}
	o.valid = true
	o.members = make(map[string]Node, len(object.Members))
	for i := range object.Members {
		o.addMember(&object.Members[i], members)
	}
	return o
}

// List decodes an array.
func (n Node) List() []Node {
	if !n.Exists() {
		return nil
	}
	array, isArray := n.value.Value.(*hujson.Array)
	if !isArray {
		n.ReportProblem("is not a list", "write it as [...]")
		return nil
	}
	nodes := make([]Node, len(array.Elements))
	for i := range array.Elements {
		nodes[i] = Node{document: n.document, value: &array.Elements[i], path: fmt.Sprintf("%s[%d]", n.path, i)}
	}
	return nodes
}

// Text decodes a string of at most maxTextBytes bytes.
func (n Node) Text() string {
	literal, valid := n.literal('"', "a string", `write it in quotes`)
	if !valid {
		return ""
	}
	if len(literal) > maxTextBytes {
		n.ReportProblem("is too long", fmt.Sprintf("keep it within %d bytes", maxTextBytes))
		return ""
	}
	return literal.String()
}

// Name decodes a name of 1 to 63 lower-case letters, digits and inner hyphens.
func (n Node) Name() string {
	text := n.Text()
	if text == "" && (!n.Exists() || n.value.Value.Kind() != '"') {
		return ""
	}
	if !namePattern.MatchString(text) {
		n.ReportProblem(fmt.Sprintf("%q is not a valid name", text), "use 1 to 63 lower-case letters, digits and inner hyphens")
	}
	return text
}

// Choice decodes one of the given names and returns its index; it returns 0 for
// an absent or unknown name.
func (n Node) Choice(names ...string) int {
	text := n.Text()
	if !n.Exists() || n.value.Value.Kind() != '"' {
		return 0
	}
	i := slices.Index(names, text)
	if i < 0 {
		n.ReportProblem(fmt.Sprintf("%q is not a valid value", text), "use one of "+strings.Join(names, ", "))
	}
	return max(i, 0)
}

// Boolean decodes true or false.
func (n Node) Boolean() bool {
	if !n.Exists() {
		return false
	}
	kind := n.value.Value.Kind()
	if kind != 't' && kind != 'f' {
		n.ReportProblem("is not a boolean", "write true or false")
	}
	return kind == 't'
}

// Integer decodes a whole number from minimum to maximum.
func (n Node) Integer(minimum, maximum int64) int64 {
	literal, valid := n.literal('0', "a number", "write a whole number without quotes")
	if !valid {
		return 0
	}
	number, err := strconv.ParseInt(string(literal), 10, 64)
	if err != nil || number < minimum || number > maximum {
		n.ReportProblem(fmt.Sprintf("%s is not an integer or out of range", literal), fmt.Sprintf("write a whole number from %d to %d", minimum, maximum))
		return 0
	}
	return number
}

// Number decodes a finite number from minimum to maximum.
func (n Node) Number(minimum, maximum float64) float64 {
	literal, valid := n.literal('0', "a number", "write a number without quotes")
	if !valid {
		return 0
	}
	number, err := strconv.ParseFloat(string(literal), 64)
	if err != nil || math.IsInf(number, 0) || number < minimum || number > maximum {
		n.ReportProblem(fmt.Sprintf("%s is out of range", literal), fmt.Sprintf("write a number from %g to %g", minimum, maximum))
		return 0
	}
	return number
}

// literal returns the value if it is a literal of the kind; otherwise it reports
// that the value is not what kindName says.
func (n Node) literal(kind hujson.Kind, kindName, remedy string) (hujson.Literal, bool) {
	if !n.Exists() {
		return nil, false
	}
	literal, isLiteral := n.value.Value.(hujson.Literal)
	if !isLiteral || literal.Kind() != kind {
		n.ReportProblem("is not "+kindName, remedy)
		return nil, false
	}
	return literal, true
}
