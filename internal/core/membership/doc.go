// Package membership lets daemons know of each other without a central service.
// It is a failure detector after SWIM: each daemon probes a few random others,
// directly and then through helpers; who does not answer is suspected, and is
// declared dead unless it refutes the suspicion with a higher incarnation.
// Changes travel piggybacked on small messages, each a bounded number of times;
// a rare digest exchange repairs what was lost, and joins halves after a
// partition.
//
// The same channel spreads which back ends are leaving, the configuration
// revision each daemon has in force, a short load summary of each zone, and
// evidence of contact with a majority.
//
// All facts merge by taking the larger in a total order per subject, so that
// loss, repetition and reordering cannot change what daemons agree on in the
// end. The package is pure: messages and times go in, actions come out, and
// randomness is injected.
package membership
