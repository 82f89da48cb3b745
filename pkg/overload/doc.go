// Package overload decides which requests a gateway refuses when more arrive than the backend servers serve in
// time. Each file holds one decision and names the load pattern that it addresses. Decisions do no I/O: the time
// and random numbers are passed in. They take effect only under overload, and nothing is refused while nothing
// waits at the servers.
package overload
