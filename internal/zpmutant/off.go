//go:build !zpmutant

// Package zpmutant switches single mechanisms off, to show that the proofs
// would notice. Only programs built with the tag zpmutant can do so; in all
// others every switch is a constant.
package zpmutant

// Active reports whether a mechanism is switched off.
func Active(Name) bool { return false }
