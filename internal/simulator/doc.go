// Package simulator is the adapter between a simulator of servers and package admission. Each simulated server is an
// instance with a controller of its own. The events of a frame become one round for each instance that they are about,
// and the decisions of these rounds become the actions of the reply.
//
// Instances share no state, and the adapter decides nothing about requests. The simulator's times are in microseconds,
// the controller's in tenths of a millisecond (admission.Time), rounded down.
package simulator
