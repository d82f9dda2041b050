package admission

// ring keeps two sums over recent time, in buckets that are used again.
type ring struct {
	step Time
	slot int64
	a, b []float64
	sa   float64
	sb   float64
}

func newRing(buckets int, step Time) ring {
	return ring{step: step, slot: -1, a: make([]float64, buckets), b: make([]float64, buckets)}
}

func (r *ring) roll(now Time) int {
	slot, n := int64(now/r.step), int64(len(r.a))
	if r.slot < 0 || slot-r.slot >= n {
		clear(r.a)
		clear(r.b)
		r.sa, r.sb, r.slot = 0, 0, slot
	}
	for r.slot < slot {
		r.slot++
		k := r.slot % n
		r.sa -= r.a[k]
		r.sb -= r.b[k]
		r.a[k], r.b[k] = 0, 0
	}
	return int(r.slot % n)
}

func (r *ring) add(now Time, a, b float64) {
	k := r.roll(now)
	r.a[k] += a
	r.b[k] += b
	r.sa += a
	r.sb += b
}

// sums gives both sums over the span of the ring.
func (r *ring) sums(now Time) (a, b float64) {
	r.roll(now)
	return r.sa, r.sb
}

// mean is sum a over sum b, or old where nothing was seen lately.
func (r *ring) mean(now Time, old float64) float64 {
	if r.roll(now); r.sb > 1e-9 {
		return r.sa / r.sb
	}
	return old
}

func (r *ring) span() Time { return r.step * Time(len(r.a)) }

// level is a count whose mean over recent time is kept.
type level struct {
	ring
	n  int
	at Time
}

func (l *level) move(now Time, by int) {
	l.add(now, float64(l.n)*float64(now-l.at), 0)
	l.at, l.n = now, l.n+by
}

// over is the mean of the count over the span of the ring.
func (l *level) over(now Time) float64 {
	l.move(now, 0)
	return l.sa / float64(l.span())
}

// wheel holds requestTable indices by the time they are to be looked at again.
type wheel struct {
	step  Time
	slot  int64
	heads []int32
}

func newWheel(buckets int, step, now Time) wheel {
	w := wheel{step: step, slot: int64(now / step), heads: make([]int32, buckets)}
	for i := range w.heads {
		w.heads[i] = none
	}
	return w
}
