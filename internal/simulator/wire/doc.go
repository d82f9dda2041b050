// Package wire reads and writes the frames of the simulator's wire: batches of events from it, replies of actions to
// it. It has no state but buffers, and decides nothing.
//
// The protocol's own names stop at this package. They are mapped to the terms that the program uses here, once:
//
//	event                Event's kind        decoded by
//	About 100            InstanceSelected    Instance
//	Spawn 10             InstanceStarted     Settings
//	Halt 90              InstanceCrashed
//	Order 20             RequestRead         RequestRead
//	Ended 30             RunEnded            RunEnded
//	ReadyToCall 40       CallNeeded          RequestID
//	Called 50            CallEnded           CallEnded
//	Sigterm 60           DrainNotice         KillAt
//	Hangup 70            CallerGone          RequestID
//	TimeoutFired 80      WakeUp              Gauges
//
//	action               Reply's method
//	Source 70            Instance
//	Launch 150           Run
//	Preempt 140          Stop
//	Shed 160             Reject
//	DropRequest 10       Fail
//	Dial 20              Call
//	GoOn 90              SkipCall
//	Memo 60              Remember
//	Erase 100            Forget
//	AnswerFrom 40        ReuseResult
//	MarkHealth 50        Health
//	Announce 80          OverloadSignal
//	Keepalive 110        IdleTimeout
//	WakeAt 130           WakeUp
//	Emit 120, Die 30     Log, Crash
//
// Times are microseconds of the simulator's clock, spans microseconds.
package wire
