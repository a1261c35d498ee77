package document

import (
	"fmt"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// Object is an object's members by name.
type Object struct {
	node    Node
	members map[string]Node
	read    bool
}

// Get returns the named member, which may be absent.
func (o Object) Get(name string) Node {
	return o.members[name]
}

// Require returns the named member and refuses an object without it.
func (o Object) Require(name string) Node {
	node, found := o.members[name]
	if o.read && !found {
		o.node.Refuse(fmt.Sprintf("has no %q", name), fmt.Sprintf("add %q", name))
	}
	return node
}

func (o Object) add(member *hujson.ObjectMember, known []string) {
	name := member.Name.Value.(hujson.Literal).String()
	key := Node{document: o.node.document, value: &member.Name, path: joinPath(o.node.path, name)}
	if !slices.Contains(known, name) {
		key.Refuse("is an unknown field", "remove it or use one of "+strings.Join(known, ", "))
		return
	}
	if _, twice := o.members[name]; twice {
		key.Refuse("is given twice", "keep one of the two")
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
