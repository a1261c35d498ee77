// Package manifest decodes and encodes the manifest: the operators' file in
// format 1, described in docs/MANIFEST.md, and the records in the store.
package manifest
