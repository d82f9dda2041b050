package logging

// Names of log fields. Nodes and the control service use the same names, so that one search finds a value in all logs.
// Names of durations end in their unit.
const (
	Node     = "node"     // the node or control instance that the line is about
	Nodes    = "nodes"    // several nodes
	Peer     = "peer"     // id of another control instance, in hexadecimal
	Instance = "instance" // id of this control instance, in hexadecimal
	Address  = "address"  // network address
	Group    = "group"    // id of a control group
	File     = "file"     // path of a file
	Offset   = "offset"   // byte in a file
	Bytes    = "bytes"    // size
	Count    = "count"    // number of the items that the message names
	Error    = "error"    // text of an error
	Reason   = "reason"   // reason of a decision
	Operator = "operator" // user who requested a change

	RequestID = "request_id" // platform's id of a request
	Class     = "class"      // class of a request
	Tenant    = "tenant"     // tenant of a request
	Service   = "service"    // called service
	Server    = "server"     // server of a called service

	Role          = "role"           // of a control instance: leader, follower, learner, candidate, waiting, barred
	Leader        = "leader"         // id of the leading control instance, in hexadecimal
	Term          = "term"           // Raft term
	Index         = "index"          // index in the group's log
	Level         = "level"          // feature level of the group
	Generation    = "generation"     // generation of the group, incremented by each restore
	Incarnation   = "incarnation"    // nonce of a node's process
	LeaseID       = "lease_id"       // number of a node's lease
	LeaseMS       = "lease_ms"       // duration of a lease in milliseconds
	PolicyVersion = "policy_version" // number of a version of the configuration document
	Change        = "change"         // number of a change of the policy version
	Operation     = "op"             // kind of an operation on a zone
	Step          = "step"           // state of a policy change or a zone
	From          = "from"           // version that a change replaces
	Exclusive     = "exclusive"      // the change waits until no node serves under the older version
	Zone          = "zone"           // name of a zone
	Epoch         = "epoch"          // epoch of a zone decision
	Share         = "share"          // a zone's share of its load, in units of 1/256
	ElapsedMS     = "elapsed_ms"     // elapsed time in milliseconds
	SilentMS      = "silent_ms"      // time since the last contact with a leader or the group, in milliseconds

	Mode           = "mode"            // mode of the result store
	PreviousMode   = "mode_before"     // mode of the result store before the change
	Keys           = "keys"            // number of keys in the result store
	Records        = "records"         // number of records read from the result store's log
	PendingRecords = "pending_records" // number of records that wait for the result store's disk
	Indeterminate  = "indeterminate"   // number of keys that may have run before a restart
	SameBoot       = "same_boot"       // windows continue by the same clock; otherwise from the last record
	TornTail       = "torn_tail"       // a tail of the log that was never synced was truncated
	MaxBytes       = "max_bytes"       // maximum size

	Command             = "command"               // command sent to the kernel
	CommandNumber       = "command_number"        // number of a command to the kernel
	Acknowledged        = "acknowledged"          // number of the last command that the kernel has certainly read
	Event               = "event"                 // kind of a kernel event
	Sequence            = "sequence"              // number of a kernel event
	LastSequence        = "last_sequence"         // number of the kernel event handled before
	Status              = "status"                // HTTP status
	Link                = "link"                  // connection that a node opens: kernel or control
	KernelAddress       = "kernel_address"        // address of the kernel
	StoreAddress        = "store_address"         // address of the store
	DiscoveryAddress    = "discovery_address"     // address of the discovery service
	Cores               = "cores"                 // number of cores that a node may use
	MemoryMB            = "memory_mb"             // memory that a node may use, in MiB
	Descriptors         = "descriptors"           // maximum number of open file descriptors
	MaxConnections      = "max_connections"       // maximum number of concurrent client connections
	MaxStoreConnections = "max_store_connections" // maximum number of concurrent store connections
	Reserve             = "reserve"               // whether pools share a reserve of run slots
	Enabled             = "enabled"               // whether the feature that the message names is enabled
	Calls               = "calls"                 // number of calls to the store that are pending
	CallsMayHaveRun     = "may_have_run"          // number of pending calls that were sent and may have been executed
	ClockStepMS         = "clock_step_ms"         // step of the wall clock in milliseconds
	KernelState         = "kernel_state"          // state in which the kernel booted: WARM or COLD
	UptimeMS            = "uptime_ms"             // uptime of the kernel in milliseconds
	FileKeys            = "file_keys"             // keys of the start-up file
	KillInMS            = "kill_in_ms"            // time until the platform kills the process, in milliseconds
	Method              = "method"                // HTTP method
	Path                = "path"                  // path of an HTTP request
	ReceivedAtMS        = "received_at_ms"        // arrival time that a request states, in Unix milliseconds

	Limit            = "limit"              // run slots of a class; "none" without a limit
	FairSlots        = "fair_slots"         // a class's fair share of run slots by value and demand
	Running          = "running"            // run slots that a class uses
	Heavy            = "heavy"              // slots for heavy runs that a class uses
	Queued           = "queued"             // queued requests of a class
	Shed             = "shed"               // requests of a class shed since the start
	StartedOverLimit = "started_over_limit" // runs of a class started over its limit, in slots that no class wanted
	ReserveSlots     = "reserve_slots"      // run slots reserved for a class
	MedianWorkMS     = "median_work_ms"     // median work of a run without its calls, in milliseconds
	P95WorkMS        = "p95_work_ms"        // 95th percentile of the work of a run without its calls, in milliseconds

	Caller   = "caller"    // caller that a request names
	IsRetry  = "is_retry"  // the request is marked as a retry
	Outcome  = "outcome"   // outcome of a run or a call
	WithinMS = "within_ms" // time left in milliseconds
	Client   = "client"    // whether the client is still connected
)
