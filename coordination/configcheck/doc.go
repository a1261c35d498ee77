// Package configcheck finds entries of a configuration that can never take effect and limits
// that contradict each other, and lists what differs between two configurations. It is pure:
// it reads no file and knows no format.
package configcheck
