package dynamic

import (
	"regexp"

	"github.com/lotusward/lotusward/internal/finding"
)

// changeIDPattern bounds change IDs, since they become parts of row keys.
var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// CheckChange reports everything that is wrong with the form of a change, as a
// *finding.Error. What a change refers to is checked by Apply and Validate.
func CheckChange(change Change) error {
	var list finding.List
	if change.Operator == "" {
		list.Add("operator", "is empty")
	}
	if change.At.IsZero() {
		list.Add("at", "is empty")
	}
	addFormFindings(&list, change)
	return list.Err()
}

// checkChange checks only what Apply relies on.
func checkChange(change Change) error {
	var list finding.List
	addFormFindings(&list, change)
	return list.Err()
}

func addFormFindings(list *finding.List, change Change) {
	if !changeIDPattern.MatchString(change.ID) {
		list.Add("id", "must be 1 to 128 letters, digits, dots, colons, dashes or underscores")
	}
	if count := change.Operation.fieldCount(); count != 1 {
		list.Add("operation", "must have exactly one field, has %d", count)
	}
}

// notFound says that an operation names what does not exist.
func notFound(path string) error {
	var list finding.List
	list.Add(path, "there is no such entry")
	return list.Err()
}
