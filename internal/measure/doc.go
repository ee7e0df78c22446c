// Package measure runs fleets of real processes through the phases of a scenario
// file, and compares this design with the naive entry host and with the last
// recorded run.
package measure
