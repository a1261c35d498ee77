// Package intake decides on callers' requests at the instance that they
// reached: which queue takes them, what is refused and why, and what is put
// on record before an answer.
package intake
