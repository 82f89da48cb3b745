// Package e2e holds failure tests that run the real binaries as separate
// processes, each on a separate loopback address. All code is in test files.
package e2e
