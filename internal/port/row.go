package port

// Row is one of the daemons' own rows in the platform's store. Version is zero where there
// is no such row.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Condition must hold for a transaction to be committed: the row has the version, or there
// is none with version zero.
type Condition struct {
	Key     string
	Version uint64
}

// Write puts a row, or deletes it.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Transaction writes all or nothing.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}
