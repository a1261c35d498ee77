// Package dispatch carries out the decisions of one availability zone: it
// takes jobs in, has them planned, starts their gangs, follows the reports of
// the racks' homes and keeps each outcome until it is fetched.
package dispatch
