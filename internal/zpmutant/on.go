//go:build zpmutant

package zpmutant

import "os"

// Variable is the environment variable that names the mechanism to disable.
const Variable = "ZP_MUTANT"

// Active reports whether a mechanism is disabled.
func Active(n Name) bool { return os.Getenv(Variable) == string(n) }
