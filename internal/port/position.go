package port

// The platform's store counts its transactions. It may come back from a copy some seconds old, and gives numbers out again
// then; its era rises by one each time. A position orders all that it ever held: by the era, then by the number. Everything
// in the daemon that compares versions of the store compares positions. Without an era they are the numbers themselves.

// eraShift leaves room for a million million transactions in an era.
const eraShift = 40

// PositionOf is the position of a version of the store in an era. Version zero, of what isn't there, is the same in all.
func PositionOf(era, version uint64) uint64 {
	if version == 0 {
		return 0
	}
	return era<<eraShift | version
}

// EraOf is the era of a position.
func EraOf(position uint64) uint64 { return position >> eraShift }

// VersionOf is the version of the store at a position, within its era.
func VersionOf(position uint64) uint64 { return position & (1<<eraShift - 1) }

// EraSource tells the store's era; nil is a store that names none.
type EraSource func() uint64

// Era is the era now, zero where the store names none.
func (s EraSource) Era() uint64 {
	if s == nil {
		return 0
	}
	return s()
}
