package server

// workers are goroutines that wait for work, so that a piece of it need not start one and grow its stack. What comes
// while all are at work gets one of its own, so nothing waits for another. They end with the process.
type workers chan func()

// newWorkers starts n of them.
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

// run has f run, and does not wait for it.
func (c workers) run(f func()) {
	select {
	case c <- f:
	default:
		go f()
	}
}
