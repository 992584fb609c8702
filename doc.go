// Package ebonypulley is the kernel of the router: the plug-in registry, the
// life cycle of a process and the detector of pauses. It knows nothing of
// requests; the packages beside it do.
//
// The path of a request through the tree is
//
//	entry -> schedule -> peer -> wire -> agent -> (lease | attempt) -> endpoint
//
// Decisions live in state machines without I/O (lease, attempt, membership,
// limit, config.Store): typed input and the current time go in, typed output
// comes out. The daemons in entry and agent only connect them to sockets.
package ebonypulley
