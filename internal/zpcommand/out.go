package zpcommand

import (
	"context"

	"github.com/zinniapaddle/zinniapaddle/internal/zpoperator"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

type (
	// target names what goes out of service or comes back.
	target struct {
		operatorFlags
		FailureDomain string `help:"Failure domain." placeholder:"NAME"`
		Endpoint      string `help:"Endpoint." placeholder:"NAME"`
	}

	takeOutCommand   struct{ target }
	bringBackCommand struct{ target }
)

var errOneTarget = zperror.New(zperror.KindInvalid, "one_target",
	"exactly one of --failure-domain and --endpoint is needed", "name one of them")

// Run takes the target out.
func (c *takeOutCommand) Run(out *console) error { return c.set(true, out) }

// Run brings the target back.
func (c *bringBackCommand) Run(out *console) error { return c.set(false, out) }

func (t *target) set(outOfService bool, out *console) error {
	if (t.FailureDomain == "") == (t.Endpoint == "") {
		return errOneTarget
	}
	edit := zpoperator.SetEndpointOut(t.Endpoint, outOfService)
	if t.FailureDomain != "" {
		edit = zpoperator.SetDomainOut(t.FailureDomain, outOfService)
	}
	o, err := t.open()
	if err != nil {
		return err
	}
	version, err := o.Change(context.Background(), edit)
	if err != nil {
		return err
	}
	return t.confirm(o, version, out)
}
