// Package e2e holds failure tests that run the real binaries as separate
// processes on loopback addresses of their own. All code is in test files.
package e2e
