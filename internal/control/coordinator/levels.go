package coordinator

// Feature levels of a group. The leader appends only entries that instances at the group's level can read.
const (
	// LevelGenerations is the first level whose entries carry proof of lost state and nodes' uptimes.
	LevelGenerations = 4
	// LevelSameProcess is the first level whose entries distinguish a lost lease from a restarted process.
	LevelSameProcess = 5
)
