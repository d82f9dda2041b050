package admission

// window keeps two sums over recent time, in buckets that are used again.
type window struct {
	step            Time
	slot            int64 // of the newest bucket; -1 before the first
	values, weights []float64
	value, weight   float64 // the sums
}

func newWindow(buckets int, step Time) window {
	return window{step: step, slot: -1, values: make([]float64, buckets), weights: make([]float64, buckets)}
}

// advance drops what has become old and gives the bucket of now.
func (w *window) advance(now Time) int {
	slot, n := int64(now/w.step), int64(len(w.values))
	if w.slot < 0 || slot-w.slot >= n {
		clear(w.values)
		clear(w.weights)
		w.value, w.weight, w.slot = 0, 0, slot
	}
	for w.slot < slot {
		w.slot++
		k := w.slot % n
		w.value -= w.values[k]
		w.weight -= w.weights[k]
		w.values[k], w.weights[k] = 0, 0
	}
	return int(w.slot % n)
}

func (w *window) add(now Time, value, weight float64) {
	k := w.advance(now)
	w.values[k] += value
	w.weights[k] += weight
	w.value += value
	w.weight += weight
}

// sums gives both sums over the span of the window.
func (w *window) sums(now Time) (value, weight float64) {
	w.advance(now)
	return w.value, w.weight
}

// mean is the sum of values over that of weights, or otherwise where nothing was seen lately.
func (w *window) mean(now Time, fallback float64) float64 {
	if w.advance(now); w.weight > nearZero {
		return w.value / w.weight
	}
	return fallback
}

func (w *window) span() Time { return w.step * Time(len(w.values)) }

// nearZero is what is left of a sum after rounding: nothing counts for less.
const nearZero = 1e-9

// countAverage is a count whose mean over recent time is kept.
type countAverage struct {
	window
	count     int
	changedAt Time
}

func (c *countAverage) change(now Time, by int) {
	c.add(now, float64(c.count)*float64(now-c.changedAt), 0)
	c.changedAt, c.count = now, c.count+by
}

// average is the mean of the count over the span of the window.
func (c *countAverage) average(now Time) float64 {
	c.change(now, 0)
	return c.value / float64(c.span())
}

// boolToFloat is 1 for true and 0 for false, to be counted.
func boolToFloat(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
