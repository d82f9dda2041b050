package server

// sentCommands knows which commands on one link to the kernel were never sent, although they were queued: the kernel
// can't have read them. It belongs to the loop.
type sentCommands struct {
	bytes uint64   // queued on the link
	first uint64   // number of the command of ends[0]
	ends  []uint64 // of the commands not acknowledged yet: bytes queued on the link with each and those before it
	begun uint64   // bytes that were sent, or may have been, once the link has ended
}

// add records that the next command was queued.
func (s *sentCommands) add() { s.ends = append(s.ends, s.bytes) }

// answered forgets the commands up to this number, which the kernel has read.
func (s *sentCommands) answered(number uint64) {
	if number < s.first {
		return
	}
	n := min(int(number-s.first)+1, len(s.ends))
	s.ends = append(s.ends[:0], s.ends[n:]...)
	s.first += uint64(n)
}

// end records the end of the link.
func (s *sentCommands) end(begun uint64) { s.begun = begun }

// firstUnsent returns the number of the first command that was never sent, unsentCommand if all were.
func (s *sentCommands) firstUnsent() uint64 {
	for i, end := range s.ends {
		if end > s.begun {
			return s.first + uint64(i)
		}
	}
	return unsentCommand
}

// recallUnsentCommands makes the commands that were never sent on the link that has ended go out over the next one.
func (l *loop) recallUnsentCommands() {
	firstUnsent := l.kernel.sent.firstUnsent()
	l.kernel.sent = sentCommands{}
	if firstUnsent == unsentCommand {
		return
	}
	for h, i := l.requests.next(0); h != 0; h, i = l.requests.next(i) {
		c := &l.requests.get(h).kernelCommands
		for _, command := range []*uint64{&c.runCommand, &c.callResultCommand, &c.stopCommand} {
			if *command >= firstUnsent {
				*command = unsentCommand
			}
		}
	}
}
