// Package placement chooses the region, failure domain and upstream of each
// request.
//
// Table is the traffic side: it counts this host's own in-flight requests
// exactly, adds an estimate of the other hosts' requests that decays with age,
// and hands out slots or queues the request by weighted fair queueing. Machine is
// the control side: it exchanges load digests between the hosts of a cell, assigns
// each probe to one host, and gives the table the upstreams and their state.
package placement
