package query

import (
	"regexp"
	"strings"
)

// vocabulary lists the keywords of the language.
var vocabulary = []string{
	"show", "leaving", "backends", "daemons", "models", "quarantines", "rollouts", "routes", "services", "tenants",
	"where", "and", "order", "by", "asc", "desc", "limit",
}

// sample is a token that stands for a class of tokens.
type sample struct {
	text  string
	label string
}

// samples are tried in this order. Each is no keyword.
var samples = []sample{
	{`2000-01-01T00:00:00Z`, "a time such as 2026-05-01T17:00:00Z"},
	{`7`, "a number"},
	{`=`, `one of = != < <= > >= ~`},
	{`,`, `","`},
	{`/`, `"/"`},
	{`@`, `"@"`},
}

// anyName is accepted wherever a name is.
const anyName = "zz_any_name"

const (
	labelName  = "a name"
	labelValue = "a value"
	labelField = "a field"
)

// maximumExplainedBytes bounds the prefixes that expectedAfter works on: it parses
// the prefix once for each word of the language.
const maximumExplainedBytes = 2 << 10

// expectedAfter lists what can follow a text that is the start of a statement.
// It asks the parser: a token may follow if the parse gets beyond it.
func expectedAfter(prefix string) []string {
	if len(prefix) > maximumExplainedBytes {
		return nil
	}
	if accepts(prefix, anyName) {
		return expectedName(prefix)
	}
	var expected []string
	for _, keyword := range vocabulary {
		if accepts(prefix, keyword) {
			expected = append(expected, keyword)
		}
	}
	for _, sample := range samples {
		if accepts(prefix, sample.text) {
			expected = append(expected, sample.label)
		}
	}
	return expected
}

// expectedName tells where a name can follow, whether it is that of a field.
func expectedName(prefix string) []string {
	if fields := fieldNames(prefix); len(fields) > 0 {
		return fields
	}
	if accepts(prefix, samples[0].text) {
		return []string{labelValue}
	}
	return []string{labelName}
}

// accepts tells whether a token can follow the prefix.
func accepts(prefix, token string) bool {
	text := prefix + " " + token
	offset := errorOffset(text)
	return offset < 0 || offset >= len(text)
}

var (
	showPattern  = regexp.MustCompile(`(?i)^\s*show\s+([a-z-]+(?:\s+(?:prefixes|requests|backends))?)`)
	fieldPattern = regexp.MustCompile(`(?i)\b(where|and|by)\s*$`)
)

// fieldNames lists the fields of the query if its start ends where one follows.
func fieldNames(prefix string) []string {
	if !fieldPattern.MatchString(prefix) {
		return nil
	}
	return columnNames(sourceOf(prefix).Columns())
}

func sourceOf(prefix string) Source {
	match := showPattern.FindStringSubmatch(prefix)
	if match == nil {
		return ""
	}
	return Source(strings.ToLower(strings.Join(strings.Fields(match[1]), " ")))
}

// Complete lists the keywords and fields that can stand for the last, perhaps
// unfinished word of a text.
func Complete(text string) []string {
	start := strings.LastIndexAny(text, " \t\n,") + 1
	word := strings.ToLower(text[start:])
	var fitting []string
	for _, candidate := range expectedAfter(text[:start]) {
		if !strings.ContainsAny(candidate, ` "`) && strings.HasPrefix(candidate, word) {
			fitting = append(fitting, candidate)
		}
	}
	return fitting
}

// maximumDistance is how many edits a suggestion may be away.
const maximumDistance = 2

// nearest returns the candidate nearest to a word, or "" if none is near.
func nearest(word string, candidates []string) string {
	word = strings.ToLower(word)
	best := ""
	bestDistance := maximumDistance + 1
	for _, candidate := range candidates {
		distance := editDistance(word, candidate)
		if distance < bestDistance && distance < len(candidate) {
			best = candidate
			bestDistance = distance
		}
	}
	return best
}

// editDistance counts the insertions, deletions and replacements of bytes that
// turn one word into another (Levenshtein).
func editDistance(from, to string) int {
	if len(from) > len(to)+maximumDistance {
		return len(from) // too far to matter
	}
	previous := make([]int, len(to)+1)
	for column := range previous {
		previous[column] = column
	}
	for row := range len(from) {
		current := make([]int, len(to)+1)
		current[0] = row + 1
		for column := range len(to) {
			cost := 1
			if from[row] == to[column] {
				cost = 0
			}
			current[column+1] = min(previous[column]+cost, previous[column+1]+1, current[column]+1)
		}
		previous = current
	}
	return previous[len(to)]
}
