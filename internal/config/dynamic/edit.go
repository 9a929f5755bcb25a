package dynamic

import "slices"

// editor makes the lists of the next document, and keeps its sum.
type editor struct {
	document *Document
	entries  sum
}

// exchange takes one entry out of the sum and puts another in. Nil stands for
// no entry.
func (e *editor) exchange(list listName, before, after any) error {
	if before != nil {
		old, err := entrySum(list, before)
		if err != nil {
			return err
		}
		e.entries = e.entries.minus(old)
	}
	if after != nil {
		fresh, err := entrySum(list, after)
		if err != nil {
			return err
		}
		e.entries = e.entries.plus(fresh)
	}
	return nil
}

// put sets an entry of a sorted list in a copy of the list. It returns the entry
// that was there, encoded.
func put[T any](e *editor, name listName, list *[]T, entry T, compare func(a, b T) int) ([]byte, error) {
	old := *list
	index, found := slices.BinarySearchFunc(old, entry, compare)
	if found {
		*list = slices.Clone(old)
		(*list)[index] = entry
		if err := e.exchange(name, &old[index], &entry); err != nil {
			return nil, err
		}
		return encodeCompact(old[index])
	}
	changed := make([]T, 0, len(old)+1)
	changed = append(changed, old[:index]...)
	changed = append(changed, entry)
	*list = append(changed, old[index:]...)
	return nil, e.exchange(name, nil, &entry)
}

// remove takes an entry out of a sorted list in a copy of the list. It returns
// the entry, encoded. It fails with a finding at path when there is none.
func remove[T any](e *editor, name listName, list *[]T, entry T, compare func(a, b T) int, path string) ([]byte, error) {
	old := *list
	index, found := slices.BinarySearchFunc(old, entry, compare)
	if !found {
		return nil, notFound(path)
	}
	changed := make([]T, 0, len(old)-1)
	changed = append(changed, old[:index]...)
	*list = append(changed, old[index+1:]...)
	if err := e.exchange(name, &old[index], nil); err != nil {
		return nil, err
	}
	return encodeCompact(old[index])
}

// extendHistory copies the history, since two changes may be tried on one document.
func (e *editor) extendHistory(touch Touch) error {
	history := e.document.History
	dropped := max(0, len(history)+1-HistoryLength)
	for index := range dropped {
		if err := e.exchange(listHistory, &history[index], nil); err != nil {
			return err
		}
	}
	kept := history[dropped:]
	extended := make([]Touch, 0, len(kept)+1)
	extended = append(extended, kept...)
	e.document.History = append(extended, touch)
	return e.exchange(listHistory, nil, &touch)
}
