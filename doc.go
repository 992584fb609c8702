// Package ebonypulley holds what all processes of the router share: the plug-in
// registry, the life cycle of a process, dialing and the detection of process pauses.
// It does not handle requests; the packages below it do.
//
// A request to package entry passes through the packages
//
//	entry -> router -> schedule -> peer -> wire -> agent -> (lease | attempt) -> endpoint
//
// and one to package platform, which uses no agents, through
//
//	platform -> router -> upstream -> endpoint
//
// Decisions are made by state machines without I/O (lease, attempt, membership,
// limit, config.Store), which take typed input and the current time and return typed
// output. The daemons in entry and agent only connect them to sockets.
package ebonypulley
