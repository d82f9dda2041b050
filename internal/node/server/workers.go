package server

// workers is a pool of goroutines, which saves starting one and growing its stack for each function. A function that
// finds all of them busy gets a goroutine of its own, so that none waits. The workers end with the process.
type workers chan func()

// newWorkers starts n workers.
func newWorkers(n int) workers {
	c := make(workers)
	for range n {
		go func() {
			for f := range c {
				f()
			}
		}()
	}
	return c
}

// run runs f asynchronously.
func (c workers) run(f func()) {
	select {
	case c <- f:
	default:
		go f()
	}
}
