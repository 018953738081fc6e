// Package coordinator joins everything that one co-ordinator process is made of: it takes clients' queries, has
// package scheduler decide where their subqueries go, has them sent to replicas, and gives each query exactly one
// answer.
//
// # Who owns which state
//
// One goroutine, the event loop (package eventloop), owns all state of queries, attempts and replicas, so that none
// of it needs a lock. Sockets belong to drivers with goroutines of their own. These decide nothing; what they read
// they post to the loop, and what the loop wants sent they write:
//
//   - server reads clients' requests and writes the answers;
//   - replicaconn writes calls to replicas and reads their replies, on connections as connpool wants them;
//   - discovery follows the endpoint list;
//   - gossip (gossip.go) exchanges messages with the other co-ordinators.
//
// Decisions are made by packages that do no I/O, have no clock and start no goroutine: scheduler (which query is
// admitted, which replica gets which attempt, what is retried, hedged or given up), twophase (what a two-phase
// query asks for), connpool (connections to replicas), overload (how much load to shed while the process is short
// of CPU), incarnation (when replicas started) and invariant (whether something may be sent, answered or closed at
// this moment). Coordinator implements
// scheduler.Host: it carries out what the scheduler decides.
//
// # The way of a query
//
//	server                      event loop                             replicaconn
//	reads the request
//	checks admission ---------> queryArrives, acceptQuery
//	                            scheduler.QueryArrives
//	                            scheduler.SubqueryArrives, each
//	                            endIteration: scheduler.Decide
//	                              StartAttempt: checkStart ----------> mayWrite, writes the call
//	                                                                   reads the reply
//	                            replyReceived <----------------------- posts it
//	                            scheduler.AttemptEnds
//	                            endIteration: scheduler.Decide
//	writes the answer <-------- Complete, Reject or Fail
//
// An attempt can also end without a reply: it times out, is cancelled, or its connection breaks. The scheduler is
// notified of each end exactly once and may then start another attempt. An end that the scheduler's own decision
// caused, such as a cancellation, is notified in the next iteration, as the scheduler is not called while it decides.
//
// A query is open from acceptQuery to closeQuery. It closes with its answer or when its client disconnects; from
// then on nothing of it is sent. Attempts that are out at that time are still known until they end.
//
// # The way of an endpoint list
//
// Discovery posts each list, or change of it. The loop notes each replica's state (ready, draining, removed), which
// mayWrite checks at the last moment, tells connpool, which closes what is no longer wanted, and then the
// scheduler, which places no new attempt there. Where the list says that a replica's process is a new one, the
// scheduler starts it slowly. Until the first list has come, or discovery has failed while an older list is known,
// /up says that the process is not ready; queries are taken at any time.
//
// # The way of a configuration
//
// New reads the configuration once: settings.go gives it its types. At SIGHUP, Reload reads the platform file anew
// and takes up the address of discovery, and has the TLS files read anew. Limits and settings that have changed are
// logged as restart_needed; other changes are neither taken up nor logged.
//
// # Shutdown
//
// At SIGTERM, package server lets clients connect for a while yet, as they may not have heard of it, and asks idle
// ones to go. Each query that is open or still comes is answered by its deadline. When no client is left, the loop
// ends and the drivers with it. See shutdown.go.
//
// # Failures of the process itself
//
// A panic in an iteration fails the open queries and starts a new scheduler; see recoverFromPanic. A panic in a
// client connection's goroutine or in the reader of a replica's connection ends that connection alone. In any other
// goroutine, such as the writer of a replica's connection, a panic ends the process. A query that the scheduler
// leaves open is failed at its deadline; see deadlinePassed. After a stall of the process, times of
// arrival count from its beginning; see eventloop.Loop.EarliestArrival.
//
// # Where to look
//
//   - coordinator.go: the parts, start, iteration; shutdown.go: the end
//   - clients.go, replicas.go, endpoints.go: how server, replicaconn and discovery are set up, and what they notify of
//   - arrival.go, query.go, answer.go: a query from its arrival to its answer
//   - attempt.go: attempts from start to end
//   - twophase.go: queries that ask can-match first
//   - invariants.go: what is checked before an attempt is sent
//   - admission.go, cpu.go: load shedding for want of CPU
//   - recovery.go: after a panic
//   - deployment.go, settings.go, reload.go: configuration
//   - gossip.go: messages between co-ordinators
//   - counters.go, pages.go, limitedlog.go: what operators see
package coordinator
