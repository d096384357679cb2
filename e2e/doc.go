// Package e2e contains end-to-end tests. They run sites of separate processes
// under load and inject faults.
package e2e
