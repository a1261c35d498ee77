// Package ownership assigns roles to the entries of an availability zone by
// rendezvous hashing over its live members (Thaler and Ravishankar, IEEE/ACM
// Transactions on Networking, 1998).
package ownership
