package placement

// Rank is the weight of a back end for a prefix root in rendezvous hashing; the
// highest goes first. Both numbers are hashes. It is the finalizer of SplitMix64
// (Steele, Lea and Flood, 2014), since a decision ranks thousands.
func Rank(root, key uint64) uint64 {
	value := root ^ key
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}
