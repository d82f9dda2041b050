package simulation

type timedEvent struct {
	at  float64
	seq int
	do  func()
}

type timedEvents []timedEvent

func (q timedEvents) Len() int { return len(q) }

func (q timedEvents) Less(i, k int) bool {
	return q[i].at < q[k].at || q[i].at == q[k].at && q[i].seq < q[k].seq
}

func (q timedEvents) Swap(i, k int) { q[i], q[k] = q[k], q[i] }

func (q *timedEvents) Push(x any) { *q = append(*q, x.(timedEvent)) }

func (q *timedEvents) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
