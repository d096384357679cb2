//go:build !zpmutant

// Package zpmutant disables single mechanisms for mutation testing, which checks
// that the proofs detect a missing mechanism. This works only in programs built
// with the tag zpmutant; in all others, Active always returns false.
package zpmutant

// Active reports whether a mechanism is disabled.
func Active(Name) bool { return false }
