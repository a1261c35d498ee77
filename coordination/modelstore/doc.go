// Package modelstore keeps what a planner's models have learnt in the platform's store,
// in small records, for the planner that follows.
package modelstore
