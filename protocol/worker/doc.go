// Package worker implements the calls to workers as JSON over HTTP. The workers'
// own protocol is not published yet; once it is, only this package changes.
package worker
