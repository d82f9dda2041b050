// Package pools sets run slots apart by class, so that costly work does not starve cheap requests: it decides whether a
// queued request may take a run slot now.
//
// [Pools] owns what each class of requests costs, has queued and running, and how many slots it may have. It implements
// admission.Pools: it is told the time, arrivals, starts, calls and ends, and answers. Times and work are in tenths of
// a millisecond, limits in run slots.
//
// Limits bind only while some class wants more than its fair part of the slots and another suffers by it, or where
// the operator fixed them. No slot idles for a limit that wasn't fixed: a class may go over its limit while nobody
// with room waits.
//
// The package does no I/O, has no clock and no source of chance. It never frees a slot or sheds a request, and the
// concurrency limit of package admission stands above all pools. A Pools is for one goroutine, the controller's.
// docs/design/pools.md says why the rules are as they are.
package pools
