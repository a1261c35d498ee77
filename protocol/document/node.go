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

// Node is one value of a document, with its field path; the zero Node stands
// for an absent value, which reads as zero values.
type Node struct {
	document *Document
	value    *hujson.Value
	path     string
}

// Exists reports whether the file has the value.
func (n Node) Exists() bool { return n.value != nil }

// Refuse reports a problem at the value.
func (n Node) Refuse(message, remedy string) {
	if n.Exists() {
		n.document.report(n.value.StartOffset, n.path, message, remedy)
	}
}

// Object reads an object that may have the named members only.
func (n Node) Object(members ...string) Object {
	o := Object{node: n}
	if !n.Exists() {
		return o
	}
	object, isObject := n.value.Value.(*hujson.Object)
	if !isObject {
		n.Refuse("is not an object", `write it as {"`+strings.Join(members, `": ..., "`)+`": ...}`)
		return o
	}
	o.read = true
	o.members = make(map[string]Node, len(object.Members))
	for i := range object.Members {
		o.add(&object.Members[i], members)
	}
	return o
}

// List reads an array.
func (n Node) List() []Node {
	if !n.Exists() {
		return nil
	}
	array, isArray := n.value.Value.(*hujson.Array)
	if !isArray {
		n.Refuse("is not a list", "write it as [...]")
		return nil
	}
	nodes := make([]Node, len(array.Elements))
	for i := range array.Elements {
		nodes[i] = Node{document: n.document, value: &array.Elements[i], path: fmt.Sprintf("%s[%d]", n.path, i)}
	}
	return nodes
}

// Text reads a string.
func (n Node) Text() string {
	literal, read := n.literal('"', "a string", `write it in quotes`)
	if !read {
		return ""
	}
	if len(literal) > maxTextBytes {
		n.Refuse("is too long", fmt.Sprintf("keep it within %d bytes", maxTextBytes))
		return ""
	}
	return literal.String()
}

// Name reads a name of lower-case letters, digits and inner hyphens.
func (n Node) Name() string {
	text := n.Text()
	if text == "" && (!n.Exists() || n.value.Value.Kind() != '"') {
		return ""
	}
	if !namePattern.MatchString(text) {
		n.Refuse(fmt.Sprintf("%q is not a name", text), "use 1 to 63 lower-case letters, digits and inner hyphens")
	}
	return text
}

// Choice reads one of the given words and returns its position, or 0.
func (n Node) Choice(words ...string) int {
	text := n.Text()
	if !n.Exists() || n.value.Value.Kind() != '"' {
		return 0
	}
	i := slices.Index(words, text)
	if i < 0 {
		n.Refuse(fmt.Sprintf("%q is not known", text), "use one of "+strings.Join(words, ", "))
	}
	return max(i, 0)
}

// Boolean reads true or false.
func (n Node) Boolean() bool {
	if !n.Exists() {
		return false
	}
	kind := n.value.Value.Kind()
	if kind != 't' && kind != 'f' {
		n.Refuse("is not a boolean", "write true or false")
	}
	return kind == 't'
}

// Integer reads a whole number from least to most.
func (n Node) Integer(least, most int64) int64 {
	literal, read := n.literal('0', "a number", "write a whole number without quotes")
	if !read {
		return 0
	}
	number, err := strconv.ParseInt(string(literal), 10, 64)
	if err != nil || number < least || number > most {
		n.Refuse(fmt.Sprintf("%s is not allowed", literal), fmt.Sprintf("write a whole number from %d to %d", least, most))
		return 0
	}
	return number
}

// Number reads a number from least to most.
func (n Node) Number(least, most float64) float64 {
	literal, read := n.literal('0', "a number", "write a number without quotes")
	if !read {
		return 0
	}
	number, err := strconv.ParseFloat(string(literal), 64)
	if err != nil || math.IsInf(number, 0) || number < least || number > most {
		n.Refuse(fmt.Sprintf("%s is not allowed", literal), fmt.Sprintf("write a number from %g to %g", least, most))
		return 0
	}
	return number
}

func (n Node) literal(kind hujson.Kind, wanted, remedy string) (hujson.Literal, bool) {
	if !n.Exists() {
		return nil, false
	}
	literal, isLiteral := n.value.Value.(hujson.Literal)
	if !isLiteral || literal.Kind() != kind {
		n.Refuse("is not "+wanted, remedy)
		return nil, false
	}
	return literal, true
}
