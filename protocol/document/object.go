package document

import (
	"fmt"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// Object holds the members of a decoded object by name.
type Object struct {
	node    Node
	members map[string]Node
	// valid is false if the value is absent or not an object.
	valid bool
}

// Get returns the named member, which may be absent.
func (o Object) Get(name string) Node {
	return o.members[name]
}

// Require returns the named member and reports a problem if it is absent.
func (o Object) Require(name string) Node {
	node, found := o.members[name]
	if o.valid && !found {
		o.node.ReportProblem(fmt.Sprintf("has no %q", name), fmt.Sprintf("add %q", name))
	}
	return node
}

// addMember adds a member unless it is not among the allowed names or a
// duplicate, which it reports.
func (o Object) addMember(member *hujson.ObjectMember, allowed []string) {
	name := member.Name.Value.(hujson.Literal).String()
	key := Node{document: o.node.document, value: &member.Name, path: joinPath(o.node.path, name)}
	if !slices.Contains(allowed, name) {
		key.ReportProblem("is an unknown field", "remove it or use one of "+strings.Join(allowed, ", "))
		return
	}
	if _, duplicate := o.members[name]; duplicate {
		key.ReportProblem("is a duplicate field", "keep one of the two")
		return
	}
	o.members[name] = Node{document: o.node.document, value: &member.Value, path: key.path}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
