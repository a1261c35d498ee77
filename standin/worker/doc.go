// Package worker simulates a worker of the platform: it grants leases under fencing
// tokens, runs tasks as timers and has faults that can be switched on.
package worker
