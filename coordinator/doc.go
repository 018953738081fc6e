// Package coordinator assembles a co-ordinator process from its parts. It accepts clients' queries, sends their
// subqueries to the replicas that package scheduler chooses, and gives each query exactly one answer.
//
// # Ownership of state
//
// One goroutine, the event loop (package eventloop), owns all state of queries, attempts and replicas, so that none
// of it needs a lock. Sockets belong to drivers with goroutines of their own. Drivers make no decisions; they post
// what they read to the loop and write what the loop asks them to send:
//
//   - server reads clients' requests and writes the answers;
//   - replicaconn writes calls to replicas and reads their replies, on the connections that connpool asks for;
//   - discovery follows the endpoint list;
//   - gossip (gossip.go) exchanges messages with the other co-ordinators.
//
// Decisions are made by packages that do no I/O, read no clock and start no goroutine: scheduler (which query is
// admitted, which replica gets which attempt, what is retried, hedged or given up), twophase (what a two-phase
// query asks for), connpool (connections to replicas), overload (how much load to shed while the process is short
// of CPU), incarnation (when replicas started) and invariant (whether something may be sent, answered or closed at
// this moment). Coordinator implements scheduler.Host: it carries out what the scheduler decides.
//
// # Life of a query
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
// notified of each end exactly once and may then start another attempt. If the scheduler's own decision ended the
// attempt, such as a cancellation, it is notified in the next iteration, because it must not be called while it
// decides.
//
// A query is open from acceptQuery to closeQuery. It closes with its answer or when its client disconnects; from
// then on nothing is sent for it. Attempts that are in flight at that time are tracked until they end.
//
// # Life of an endpoint list
//
// Discovery posts each endpoint list or change of it. The loop records each replica's state (ready, draining,
// removed), which mayWrite checks just before an attempt is written. It then updates connpool, which closes
// connections that are no longer needed, and the scheduler, which places no new attempts on a draining or removed
// replica. If the list shows that a replica's process is new, the scheduler applies slow start to it. /up reports
// that the process is not ready until discovery has sent a list and an endpoint is known, or until discovery has failed
// while an endpoint is known from an older list. Queries are accepted at any time.
//
// # Configuration
//
// New reads the configuration once; settings.go parses it. At SIGHUP, Reload reads the platform file again, applies a
// changed address of discovery, and reloads the TLS files. Changed limits and settings are logged as restart_needed;
// other changes are neither applied nor logged.
//
// # Shutdown
//
// At SIGTERM, package server accepts new connections for a while longer, because clients may not know of the
// shutdown yet, and closes idle ones. Each query that is open or still arrives is answered by its deadline. When no
// client is left, the loop and the drivers end. See shutdown.go.
//
// # Failures of the process itself
//
// A panic in an iteration fails the open queries and starts a new scheduler; see recoverFromPanic. A panic in the
// goroutine of a client connection or in the reader of a replica connection ends only that connection. A panic in any
// other goroutine, such as the writer of a replica connection, ends the process. A query that the scheduler leaves
// open is failed at its deadline; see deadlinePassed. Queries count from when the operating system received them. Where
// it does not report that, those read after a stall of the process are dated to the start of the stall; see
// eventloop.Loop.EarliestArrival.
//
// # Files
//
//   - coordinator.go: construction, start, iteration; shutdown.go: shutdown
//   - clients.go, replicas.go, endpoints.go: set-up of server, replicaconn and discovery, and their notifications
//   - arrival.go, query.go, answer.go: a query from its arrival to its answer
//   - attempt.go: attempts from start to end
//   - twophase.go: two-phase queries (can-match, then fetch)
//   - invariants.go: checks before an attempt is sent
//   - admission.go, cpu.go: load shedding when the process is short of CPU
//   - recovery.go: recovery from a panic
//   - deployment.go, settings.go, reload.go: configuration
//   - gossip.go: messages between co-ordinators
//   - counters.go, pages.go, limitedlog.go: counters, pages and log for operators
package coordinator
