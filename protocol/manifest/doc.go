// Package manifest reads and writes the operators' file, format 1; see
// docs/MANIFEST.md.
package manifest
