// Package hollow runs hundreds of hollow daemons in one process in simulated
// time: the real membership core of each with real encoding and signatures, on a
// simulated network. It measures what the membership costs a daemon, and how fast
// facts travel, at sizes that no single machine runs as processes.
//
// What it leaves out: system calls, the kernel's network stack, goroutines, and
// everything else that a daemon does.
package hollow
