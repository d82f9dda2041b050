// Package pools isolates the classes of requests from each other, so that costly work does not starve cheap requests:
// it decides whether a queued request may take a run slot now.
//
// [Pools] owns each class's measured work, its counts of running and queued requests and its limit. It implements
// admission.Pools: package admission reports arrivals, starts, calls, ends and the time, and asks before each start.
// Times and work are in tenths of a millisecond, limits in run slots.
//
// A limit is cut only while its class needs more than its fair share of the slots and another is starved; afterwards it
// grows back. An operator may also fix a limit. A class may exceed a limit that isn't fixed while no class under its
// limit is waiting, so that no slot idles.
//
// The package does no I/O, reads no clock and uses no randomness. It never frees a slot or sheds a request, and the
// concurrency limit of package admission bounds all pools together. A Pools is used by one goroutine, the controller's.
// See docs/design/pools.md for the reasons behind the rules.
package pools
