// Package timeline records the decisions of the processes of the fleet as events
// in one total order.
//
// Each event has a timestamp of a hybrid logical clock (Kulkarni et al.,
// "Logical Physical Clocks", 2014): it stays close to the wall clock and orders
// an event after every event that its process had observed. Events are kept in a
// bounded in-memory ring buffer, because hosts have no disks.
package timeline
