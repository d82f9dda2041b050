package logging

// Names of the fields of log lines. A line has a constant message, and its values are fields under these names, so that
// one search finds a value in the logs of nodes and of the control service alike. Durations carry their unit in the
// name; counts and shares say of what.
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
	Count    = "count"    // of what the message names
	Error    = "error"    // error value
	Reason   = "reason"   // why a decision was made, as text
	Operator = "operator" // who asked for a change

	RequestID = "request_id" // of one request, as the platform numbers it
	Class     = "class"      // class of a request
	Tenant    = "tenant"     // tenant of a request
	Service   = "service"    // service that a node calls
	Server    = "server"     // server of a called service

	Role          = "role"           // of a control instance: leader, follower, learner, candidate, waiting, barred
	Leader        = "leader"         // id of the control instance that leads, in hexadecimal
	Term          = "term"           // Raft term
	Index         = "index"          // index in the group's log
	Level         = "level"          // feature level of the group
	Generation    = "generation"     // how often the group was restored
	Incarnation   = "incarnation"    // nonce of one run of a node
	LeaseID       = "lease_id"       // number of a node's lease
	LeaseMS       = "lease_ms"       // how long a lease lasts, in milliseconds
	PolicyVersion = "policy_version" // number of a version of the configuration document
	Change        = "change"         // number of a change of the policy version
	Operation     = "op"             // kind of an operation on a zone
	Step          = "step"           // state that a policy change or a zone has reached
	From          = "from"           // version that a change replaces
	Exclusive     = "exclusive"      // the change waits until no node serves under the older version
	Zone          = "zone"           // name of a zone
	Epoch         = "epoch"          // number of a zone decision
	Share         = "share"          // of its load that a zone takes, of 256
	ElapsedMS     = "elapsed_ms"     // time that something took, in milliseconds
	SilentMS      = "silent_ms"      // time without word from a leader or the group, in milliseconds

	Mode           = "mode"            // of the result store
	PreviousMode   = "mode_before"     // that it had before
	Keys           = "keys"            // known to the result store
	Records        = "records"         // read from its log
	PendingRecords = "pending_records" // that wait for its disk
	Indeterminate  = "indeterminate"   // keys that may have run before a restart
	SameBoot       = "same_boot"       // windows go on by the same clock; else from the last record
	TornTail       = "torn_tail"       // a tail of the log that was never synced was cut off
	MaxBytes       = "max_bytes"       // bound on a size

	Command             = "command"               // that the kernel was sent
	Event               = "event"                 // kind of an event of the kernel
	Sequence            = "sequence"              // number of an event of the kernel
	LastSequence        = "last_sequence"         // number of the one handled before
	Status              = "status"                // HTTP status
	Link                = "link"                  // connection that a node opens: kernel or control
	KernelAddress       = "kernel_address"        // that a node dials
	StoreAddress        = "store_address"         // that a node dials
	DiscoveryAddress    = "discovery_address"     // that a node dials
	Cores               = "cores"                 // that a node may use
	MemoryMB            = "memory_mb"             // that a node may use, in MiB
	Descriptors         = "descriptors"           // that a node may have open
	MaxConnections      = "max_connections"       // of clients, at one time
	MaxStoreConnections = "max_store_connections" // at one time
	Reserve             = "reserve"               // whether pools share a reserve of run slots
	Enabled             = "enabled"               // whether what the message names is on
	Calls               = "calls"                 // to the store, that are out or wait for their connection
	CallsMayHaveRun     = "may_have_run"          // of them, sent, so that nobody knows whether they ran
	ClockStepMS         = "clock_step_ms"         // by which the wall clock was stepped, in milliseconds
	KernelState         = "kernel_state"          // of the kernel as it came up: WARM or COLD
	UptimeMS            = "uptime_ms"             // of the kernel, in milliseconds
	FileKeys            = "file_keys"             // keys of the start-up file
	KillInMS            = "kill_in_ms"            // until the platform kills the process, in milliseconds
	Method              = "method"                // of an HTTP request
	Path                = "path"                  // of an HTTP request
	ReceivedAtMS        = "received_at_ms"        // when a request came, as it states, in Unix milliseconds

	Limit            = "limit"              // run slots of a class; none
	FairSlots        = "fair_slots"         // run slots that a class has by value and need
	Running          = "running"            // run slots of a class that are in use
	Heavy            = "heavy"              // runs of a class in the slots for heavy runs
	Queued           = "queued"             // requests of a class
	Shed             = "shed"               // requests of a class, since the start
	StartedOverLimit = "started_over_limit" // runs of a class that were started as nobody else wanted the slot
	ReserveSlots     = "reserve_slots"      // run slots that are kept for a class first
	MedianWorkMS     = "median_work_ms"     // of a run, without its calls, in milliseconds
	P95WorkMS        = "p95_work_ms"        // the same; 95 of 100 runs take less

	Caller   = "caller"    // who sent a request, as it states
	IsRetry  = "is_retry"  // the request says that it repeats one
	Outcome  = "outcome"   // of a run or a call
	WithinMS = "within_ms" // time that is left for something, in milliseconds
	Client   = "client"    // whether the client is still there
)
