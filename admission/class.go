package admission

import "github.com/fireflygate/fireflygate/workload"

// Class identifies queues whose jobs compete alike: those of one pool and priority. There are
// few of them, while a configuration may have thousands of queues.
type Class struct {
	Pool     string
	Priority int
}

// ClassOf returns the class of a queue.
func ClassOf(q *workload.Queue) Class { return Class{Pool: q.Pool, Priority: q.Priority} }
