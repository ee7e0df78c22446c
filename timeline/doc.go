// Package timeline records what the processes of the fleet decided, in one
// order over all of them.
//
// Each event has a timestamp of a hybrid logical clock (Kulkarni et al.,
// "Logical Physical Clocks", 2014): it stays close to the wall clock and orders
// an event after every event that its process had heard of. Events are kept in
// a ring of bounded size in memory, because hosts have no disks.
package timeline
