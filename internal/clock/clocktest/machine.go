// Package clocktest has the clocks of a machine that tests suspend.
package clocktest

import "time"

// Machine shows two clocks. Now counts suspensions, as package clock does; Steady stands still
// meanwhile, as Go's own clock does. Tests ask both: a span that is judged by Steady must show
// the fault that Now guards against. Make it with New.
type Machine struct {
	start             time.Time
	passed, suspended time.Duration
}

// New makes a machine whose clocks show the present.
func New() *Machine { return &Machine{start: time.Now()} }

// Pass lets a time pass.
func (m *Machine) Pass(span time.Duration) { m.passed += span }

// Suspend suspends the machine for a time.
func (m *Machine) Suspend(span time.Duration) {
	m.passed += span
	m.suspended += span
}

// Now is the time, suspensions counted.
func (m *Machine) Now() time.Time { return m.start.Add(m.passed) }

// Steady is the time without them.
func (m *Machine) Steady() time.Time { return m.start.Add(m.passed - m.suspended) }
