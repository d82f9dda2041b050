package admission

// window keeps two sums over a sliding time window, in a ring of buckets.
type window struct {
	step            Time
	bucketNumber    int64 // number of the newest bucket; -1 before the first
	values, weights []float64
	value, weight   float64 // sums over all buckets
}

func newWindow(buckets int, step Time) window {
	return window{step: step, bucketNumber: -1, values: make([]float64, buckets), weights: make([]float64, buckets)}
}

// advance drops expired buckets and returns the index of the current one.
func (w *window) advance(now Time) int {
	slot, n := int64(now/w.step), int64(len(w.values))
	if w.bucketNumber < 0 || slot-w.bucketNumber >= n {
		clear(w.values)
		clear(w.weights)
		w.value, w.weight, w.bucketNumber = 0, 0, slot
	}
	for w.bucketNumber < slot {
		w.bucketNumber++
		k := w.bucketNumber % n
		w.value -= w.values[k]
		w.weight -= w.weights[k]
		w.values[k], w.weights[k] = 0, 0
	}
	return int(w.bucketNumber % n)
}

func (w *window) add(now Time, value, weight float64) {
	k := w.advance(now)
	w.values[k] += value
	w.weights[k] += weight
	w.value += value
	w.weight += weight
}

// sums returns both sums over the window.
func (w *window) sums(now Time) (value, weight float64) {
	w.advance(now)
	return w.value, w.weight
}

// mean returns the sum of values over the sum of weights, or fallback if the weights are near zero.
func (w *window) mean(now Time, fallback float64) float64 {
	if w.advance(now); w.weight > nearZero {
		return w.value / w.weight
	}
	return fallback
}

func (w *window) span() Time { return w.step * Time(len(w.values)) }

// nearZero is the bound below which a sum is treated as zero, because of rounding.
const nearZero = 1e-9

// countAverage is a count with its time average over a window.
type countAverage struct {
	window
	count     int
	changedAt Time
}

func (c *countAverage) change(now Time, by int) {
	c.add(now, float64(c.count)*float64(now-c.changedAt), 0)
	c.changedAt, c.count = now, c.count+by
}

// average returns the mean of the count over the window.
func (c *countAverage) average(now Time) float64 {
	c.change(now, 0)
	return c.value / float64(c.span())
}

// boolToFloat returns 1 for true and 0 for false.
func boolToFloat(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
