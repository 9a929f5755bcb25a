// Package sighting spreads what the watchers of back ends see to all daemons.
//
// Each daemon has one report: a numbered list of sightings of the back ends that
// it watches. Only changes are published; loads are told to a few beside. Reports travel as deltas,
// pushed on change to a few random daemons, which pass on what was new to them.
// A daemon compares digests with another every second or so, and pulls what it
// missed since the sequence it has.
//
// A watcher that sees what another trusted watcher of the back end has published
// already does not publish it again; it does as soon as the other's word is gone
// or differs. Nothing tells periodically that a back end is still alive: a
// published sighting holds as long as the failure detector believes its watcher
// to be alive, and the owner of the verdicts lets a back end without a word from
// any trusted watcher run out.
//
// The package is pure: observations, member lists, messages and times go in,
// actions come out, and randomness is injected.
package sighting
