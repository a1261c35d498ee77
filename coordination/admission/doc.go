// Package admission decides which jobs may join a zone's queue. It sheds load
// before planning, so that the queue stays short enough for urgent and
// guaranteed work.
package admission
