package coordinator

// Levels of a group. The leader appends nothing that an instance below the group's level can't read.
const (
	// LevelGenerations is the first level whose entries tell of lost state and of nodes' uptime.
	LevelGenerations = 4
	// LevelSameProcess is the first level whose entries tell a process that lost its lease from a restart.
	LevelSameProcess = 5
)
