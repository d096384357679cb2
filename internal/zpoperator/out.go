package zpoperator

import (
	"fmt"

	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
)

// SetDomainOut returns an edit that takes a failure domain out of service, or
// brings it back if out is false.
func SetDomainOut(name string, out bool) Edit {
	return func(m *zpmanifest.Manifest) error {
		for i := range m.Domains {
			if m.Domains[i].Name == name {
				m.Domains[i].Out = out
				return nil
			}
		}
		return unknownNameError("failure domain", name)
	}
}

// SetEndpointOut returns an edit that takes an endpoint out of service, or brings
// it back if out is false.
func SetEndpointOut(name string, out bool) Edit {
	return func(m *zpmanifest.Manifest) error {
		for i := range m.Endpoints {
			if m.Endpoints[i].Name == name {
				m.Endpoints[i].Out = out
				return nil
			}
		}
		return unknownNameError("endpoint", name)
	}
}

func unknownNameError(kind, name string) error {
	return zperror.New(zperror.KindNotFound, "unknown_name",
		fmt.Sprintf("there is no %s %q in the manifest", kind, name), "run `zinniapaddle get` to see the names")
}
