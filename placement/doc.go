// Package placement chooses the region, failure domain and upstream of each
// request.
//
// Table is the traffic side: it counts this host's own work exactly, adds an
// aged estimate of the other hosts' work, and hands out slots or queues the
// request by weighted fair queueing. Machine is the control side: it shares
// figures between the hosts of a cell, assigns each probe to one host, and
// tells the table which upstreams exist and which are leaving.
package placement
