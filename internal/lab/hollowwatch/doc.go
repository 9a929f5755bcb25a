// Package hollowwatch measures, in simulated time and one process, what the
// watching of back ends costs at any size: real exchanges of sightings and real
// assignments, with every message encoded, signed, verified and decoded as between
// daemons, over a network that loses datagrams; hollow back ends that crash and
// come back; status polls that only count. Its benchmarks are the measurement:
//
//	go test -run '^$' -bench . -benchtime 1x ./internal/lab/hollowwatch
package hollowwatch
