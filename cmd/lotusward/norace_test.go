//go:build !race

package main

// raceEnabled tells whether the race detector is on.
const raceEnabled = false
