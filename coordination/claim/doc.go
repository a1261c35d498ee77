// Package claim records in the store which job holds the key of a non-idempotent
// request, so that the request runs at most once, whichever entries receive it.
package claim
