package main

import (
	"fmt"
	"syscall"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/platform/standin"
)

const (
	// livesStream is the stream of the seed that draws what is added here, so that the other faults of a
	// seed stay as they are.
	livesStream = 1 << 32
	// soakVersionTime and soakContact are versionMs and contactMs of defaultBounds.
	soakVersionTime = 4 * time.Second
	soakContact     = 300 * time.Millisecond
	// soakMargin is for a busy machine.
	soakMargin = 300 * time.Millisecond
)

// nameNext names a version of the weights.
func (s *soak) nameNext(version int) {
	s.name(version)
	s.namings = append(s.namings, time.Now())
}

// disturbLives restarts a back end under its id now and then, and all daemons soon after a version was named.
func (s *soak) disturbLives() {
	switch s.lives.IntN(8) {
	case 0, 1:
		s.restartRunner()
	case 2:
		s.restartAllAfterNaming()
	}
}

// restartRunner ends a back end and starts it again under its id. Its row tells so later.
func (s *soak) restartRunner() {
	again := s.runners[s.lives.IntN(len(s.runners))]
	s.noteFault(fmt.Sprintf("%s starts again", again.ID))
	again.Restart(time.Duration(s.lives.IntN(600)) * time.Millisecond)
}

// restartAllAfterNaming names a version, and kills all daemons while they learn of it.
func (s *soak) restartAllAfterNaming() {
	s.noteFault("a version is named, and all daemons are killed")
	s.named++
	s.nameNext(s.named)
	time.Sleep(time.Duration(s.lives.IntN(300)) * time.Millisecond)
	for _, daemon := range s.daemons {
		_ = daemon.command.Process.Signal(syscall.SIGKILL)
	}
	for at := range s.daemons {
		s.replace(at, syscall.SIGKILL)
	}
}

// noteFault keeps a fault's moment, and a line on it.
func (s *soak) noteFault(text string) {
	s.note(time.Now().Format("05.000") + " " + text)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = append(s.faults, time.Now())
}

// checkBegins holds that no request of a daemon in touch began on weights that had been replaced for longer than
// operators allow. What lies within a trouble of the store, or a daemon's freeze, isn't judged.
func (s *soak) checkBegins() {
	sentBy := map[string]*process{}
	for _, one := range s.asked {
		sentBy[one.call.id] = one.at
	}
	judged := 0
	for _, runner := range s.runners {
		for _, begin := range runner.Begins() {
			if by := sentBy[begin.ID]; by != nil && s.checkBegin(begin, by) {
				judged++
			}
		}
	}
	s.t.Logf("%d begins on replaced weights were judged", judged)
}

// checkBegin returns false where the begin isn't to be judged.
func (s *soak) checkBegin(begin standin.Begin, by *process) bool {
	if int(begin.Version) >= len(s.namings) {
		return false // on the newest weights
	}
	replacedAt := s.namings[begin.Version]
	if begin.At.Before(replacedAt) || s.isDisturbed(replacedAt, begin.At) {
		return false
	}
	latest := replacedAt.Add(soakVersionTime)
	if inTouch := by.startedAt.Add(soakContact); inTouch.After(latest) {
		latest = inTouch
	}
	late := begin.At.Sub(latest)
	assert.Check(s.t, late <= soakMargin, "%s of %s began on version %d, %s after version %d", begin.ID, by.name, begin.Version, late, begin.Version+1)
	return true
}

// isDisturbed tells whether the store misbehaved or a daemon was frozen around a span.
func (s *soak) isDisturbed(from, to time.Time) bool {
	const around = 3 * time.Second
	for _, moments := range [][]time.Time{s.troubles, s.freezes} {
		for _, moment := range moments {
			if moment.After(from.Add(-around)) && moment.Before(to) {
				return true
			}
		}
	}
	return false
}
