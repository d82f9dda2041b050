package recovery

// RetryAfterSpreader counts the times to come back that were told, so that each is another one.
type RetryAfterSpreader uint32

// RetryAfterWindow is when a caller that is turned away may try again, in ms from now, within the bound of the settings: one to two seconds,
// which are some renewals, so that by then the node serves or its health has told. Where it is known to be in vain for longer, as
// the share has to grow first, from then on and over half as long again. 0, 0: the settings know no such time.
func RetryAfterWindow(bound, after int64) (from, to int64) {
	if bound <= 0 {
		return 0, 0
	}
	after = min(after, 1e9)
	to = min(bound, max(2000, after*3/2))
	return min(max(to/2, after), to/2+to/4), to
}

// Next gives the time for one caller: they don't all come at once.
func (s *RetryAfterSpreader) Next(bound, after int64) int64 {
	from, to := RetryAfterWindow(bound, after)
	*s++
	return from + int64(uint32(*s)*2654435761%1024)*(to-from)/1024
}
