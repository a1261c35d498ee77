// Package message implements typed requests and responses as JSON over HTTP
// between an instance, its workers and the platform's services. Errors keep the
// step at which they occurred.
package message
