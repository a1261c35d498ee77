// Package transport moves requests, answers and datagrams between addresses;
// it knows connections, limits and deadlines, and nothing of jobs.
package transport
