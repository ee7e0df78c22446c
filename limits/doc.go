// Package limits enforces the rate and burst of each customer over all hosts
// of a cell together: in every window of length t at most B + R*t requests are
// admitted.
//
// A customer's rate and burst are divided into fleet.TotalWeight units. One
// unit is R/TotalWeight of refill rate and B/TotalWeight of bucket capacity. A
// host holds units by its roster weight and lends them to hosts that need more.
// The units of all hosts, including those lent and in flight, never add up to
// more than fleet.TotalWeight. Stored tokens never exceed the capacity that
// holds them and move between hosts only together with units. A window can
// therefore admit at most the tokens stored at its start, which are at most B,
// and what is refilled during it, which is at most R*t.
//
// Table is the traffic side: a token bucket and a bounded queue per customer.
// Machine is the control side: it publishes shares to the table, forecasts
// demand, and borrows, lends, renews and returns units.
package limits
