package directory

import (
	"maps"
	"strings"
	"sync"
)

const (
	// maxLoggedFindings is how many findings a line of the log holds.
	maxLoggedFindings = 16
	// maxKnownFindings bounds the findings that are remembered of a table; those beyond are logged at each reading.
	maxKnownFindings = 1000
)

// malformedRows remembers what could not be read in each table: other writers' rows may stay for days, and are read some
// times a second. It is safe for use by several goroutines.
type malformedRows struct {
	mutex sync.Mutex
	// known are the findings by their text, which names the row.
	known map[table]map[string]bool
}

func newMalformedRows() *malformedRows {
	return &malformedRows{known: map[table]map[string]bool{tableDeclared: {}, tableBackends: {}, tableMembers: {}}}
}

// noteAll takes in what was wrong with a table that was read whole; nil is nothing. It returns what wasn't known.
func (m *malformedRows) noteAll(of table, malformed error) []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	before := m.known[of]
	m.known[of] = map[string]bool{}
	return m.add(of, before, malformed)
}

// noteChanged takes in what was wrong with changed rows of a table. It returns what wasn't known.
func (m *malformedRows) noteChanged(of table, malformed error) []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.add(of, maps.Clone(m.known[of]), malformed)
}

// add returns the findings that weren't known before. The caller holds the mutex.
func (m *malformedRows) add(of table, before map[string]bool, malformed error) []string {
	if malformed == nil {
		return nil
	}
	var unknown []string
	for finding := range strings.SplitSeq(malformed.Error(), "\n") {
		if !before[finding] {
			unknown = append(unknown, finding)
		}
		if len(m.known[of]) < maxKnownFindings {
			m.known[of][finding] = true
		}
	}
	return unknown
}

// counts returns how many findings are known of each table.
func (m *malformedRows) counts() map[table]int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	found := map[table]int{}
	for of, findings := range m.known {
		found[of] = len(findings)
	}
	return found
}

// MalformedRows returns how many findings this daemon has made on the rows of each table, by the tables' names. Only
// daemons that read the store make any.
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

// malformedError is what was found wrong with rows.
type malformedError struct{ findings []string }

// Error implements error. Of many findings it tells the first ones.
func (e *malformedError) Error() string {
	return strings.Join(e.findings[:min(len(e.findings), maxLoggedFindings)], "\n")
}
