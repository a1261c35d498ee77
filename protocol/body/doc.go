// Package body reads JSON bodies strictly: what it does not know or finds
// twice, it refuses by name.
package body
