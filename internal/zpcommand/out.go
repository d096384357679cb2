package zpcommand

import (
	"context"

	"github.com/zinniapaddle/zinniapaddle/internal/zpoperator"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

type (
	// targetFlags select the failure domain or endpoint to take out of service
	// or bring back.
	targetFlags struct {
		operatorFlags
		FailureDomain string `help:"Failure domain." placeholder:"NAME"`
		Endpoint      string `help:"Endpoint." placeholder:"NAME"`
	}

	takeOutCommand   struct{ targetFlags }
	bringBackCommand struct{ targetFlags }
)

var errTargetCount = zperror.New(zperror.KindInvalid, "one_target",
	"exactly one of --failure-domain and --endpoint is needed", "name one of them")

// Run takes the target out of service.
func (c *takeOutCommand) Run(out *consoleOutput) error { return c.setOutOfService(true, out) }

// Run brings the target back into service.
func (c *bringBackCommand) Run(out *consoleOutput) error { return c.setOutOfService(false, out) }

func (t *targetFlags) setOutOfService(outOfService bool, out *consoleOutput) error {
	if (t.FailureDomain == "") == (t.Endpoint == "") {
		return errTargetCount
	}
	edit := zpoperator.SetEndpointOut(t.Endpoint, outOfService)
	if t.FailureDomain != "" {
		edit = zpoperator.SetDomainOut(t.FailureDomain, outOfService)
	}
	o, err := t.newOperator()
	if err != nil {
		return err
	}
	version, err := o.Change(context.Background(), edit)
	if err != nil {
		return err
	}
	return t.confirm(o, version, out)
}
