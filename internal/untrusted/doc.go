// Package untrusted tests the system's own processes with crowds of clients that break the limits.
//
// Each test starts processes of the program, built without the race detector, because it measures their memory and
// descriptors. The tests assert no timings and no fraction of served requests. They run one at a time.
package untrusted
