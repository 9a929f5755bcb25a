package directory

import (
	"maps"
	"strings"
	"sync"
)

const (
	// maxLoggedFindings is how many findings one log line holds.
	maxLoggedFindings = 16
	// maxKnownFindings bounds the findings remembered of each table; further ones are logged at each read.
	maxKnownFindings = 1000
	// maxFindingBytes bounds the text of a finding, which may quote a whole row.
	maxFindingBytes = 300
)

// malformedRows remembers what could not be read in each table, so that it is logged once: other writers' malformed
// rows may stay for days, and are read several times a second. It is safe for use by several goroutines.
type malformedRows struct {
	mutex sync.Mutex
	// known holds the findings by their text, which names the row.
	known map[table]map[string]bool
}

func newMalformedRows() *malformedRows {
	return &malformedRows{known: map[table]map[string]bool{tableDeclared: {}, tableBackends: {}, tableMembers: {}}}
}

// noteAll records the findings on a table that was read in full; nil means none. It returns those that were not
// known.
func (m *malformedRows) noteAll(of table, malformed error) []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	before := m.known[of]
	m.known[of] = map[string]bool{}
	return m.add(of, before, malformed)
}

// noteChanged records the findings on changed rows of a table. It returns those that were not known.
func (m *malformedRows) noteChanged(of table, malformed error) []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.add(of, maps.Clone(m.known[of]), malformed)
}

// add records findings and returns those that were not known before. The caller holds the mutex.
func (m *malformedRows) add(of table, before map[string]bool, malformed error) []string {
	if malformed == nil {
		return nil
	}
	var unknown []string
	for finding := range strings.SplitSeq(malformed.Error(), "\n") {
		finding = strings.Clone(finding[:min(len(finding), maxFindingBytes)])
		if !before[finding] {
			unknown = append(unknown, finding)
		}
		if len(m.known[of]) < maxKnownFindings {
			m.known[of][finding] = true
		}
	}
	return unknown
}

// counts returns the number of known findings of each table.
func (m *malformedRows) counts() map[table]int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	found := map[table]int{}
	for of, findings := range m.known {
		found[of] = len(findings)
	}
	return found
}

// MalformedRows returns the number of this daemon's findings on the rows of each table, by table name. Only daemons
// that read the store have any.
func (d *Directory) MalformedRows() map[string]int {
	found := map[string]int{}
	for of, count := range d.malformed.counts() {
		found[string(of)] = count
	}
	return found
}

// logMalformed logs findings on rows, if there are any.
func (d *Directory) logMalformed(findings []string, sentence string) {
	if len(findings) == 0 {
		return
	}
	d.options.Log.WithError(&malformedError{findings}).WithField("count", len(findings)).Error(sentence)
}

// malformedError holds findings on rows.
type malformedError struct{ findings []string }

// Error implements error. It includes the first maxLoggedFindings findings.
func (e *malformedError) Error() string {
	return strings.Join(e.findings[:min(len(e.findings), maxLoggedFindings)], "\n")
}
