// Package wire reads and writes the frames of the simulator's protocol: batches of events from the simulator, and
// replies with actions to it. Its only state are buffers.
//
// Names of the protocol are used in this package only. They map to the program's terms as follows:
//
//	event and code       Kind                decoded by
//	About 100            InstanceSelected    Instance
//	Spawn 10             InstanceStarted     Settings
//	Halt 90              InstanceCrashed
//	Order 20             RequestRead         Request
//	Ended 30             RunEnded            RunResult
//	ReadyToCall 40       CallNeeded          RequestID
//	Called 50            CallEnded           CallResult
//	Sigterm 60           DrainNotice         KillAtUS
//	Hangup 70            CallerGone          RequestID
//	TimeoutFired 80      WakeUp              Gauges
//
//	action and code      Reply's method
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
// Times are in microseconds by the simulator's clock, durations in microseconds. Numbers are big-endian.
package wire
