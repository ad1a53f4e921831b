package balancer

import (
	"sync"

	"github.com/panjf2000/ants/v2"
)

// serialQueue is a queue whose tasks run one after the other on a shared worker
// pool, so that only one task at a time uses their common state.
type serialQueue struct {
	pool  *ants.Pool
	limit int

	mu      sync.Mutex
	tasks   []func()
	running bool
}

// newSerialQueue returns a queue that accepts up to limit tasks by push.
func newSerialQueue(pool *ants.Pool, limit int) *serialQueue {
	return &serialQueue{pool: pool, limit: limit}
}

// push queues a task, unless the limit is reached, and reports whether it did.
func (q *serialQueue) push(task func()) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.tasks) >= q.limit {
		return false
	}
	q.add(task)
	return true
}

// pushAlways queues a task regardless of the limit. It is for tasks whose
// number is bounded by their source, such as the ticks of one timer.
func (q *serialQueue) pushAlways(task func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.add(task)
}

// add queues a task, and submits run to the pool if it is not running. The
// caller holds the mutex. The pool has a worker for each queue, so Submit fails
// only once the pool is closed, when tasks no longer matter.
func (q *serialQueue) add(task func()) {
	q.tasks = append(q.tasks, task)
	if !q.running {
		q.running = q.pool.Submit(q.run) == nil
	}
}

// run runs queued tasks until the queue is empty.
func (q *serialQueue) run() {
	for {
		batch := q.drain()
		if batch == nil {
			return
		}
		for _, task := range batch {
			task()
		}
	}
}

// drain removes and returns the queued tasks. If there are none, it returns nil
// and sets running to false.
func (q *serialQueue) drain() []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.tasks) == 0 {
		q.running = false
		return nil
	}
	batch := q.tasks
	q.tasks = nil
	return batch
}
