package server

// workers are goroutines that wait for work, so that a piece of it need not start one and grow its stack: that
// was a tenth of the CPU samples. What comes while all are at work gets one of its own, so nothing waits for
// another.
type workers chan func()

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

func (c workers) run(f func()) {
	select {
	case c <- f:
	default:
		go f()
	}
}
