// Package e2e holds end-to-end tests: whole sites of separate processes under
// load and faults.
package e2e
