package zpbench

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/zinniapaddle/zinniapaddle/internal/zpload"
	"github.com/zinniapaddle/zinniapaddle/internal/zpsite"
)

type siteCommand struct {
	Bin    string `default:"bin" help:"Directory of the binaries."`
	Number int    `default:"91" help:"Second octet of the loopback addresses."`
}

// Run runs a small site until SIGINT or SIGTERM, for manual requests.
func (c *siteCommand) Run(out *console) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	site, stopSite, err := startSmallSite(ctx, c.Number, c.Bin)
	if err != nil {
		return err
	}
	defer stopSite()
	_, _ = fmt.Fprintf(out.out, `a small site is running; end it with Ctrl-C

daemons:   %v
settings:  %s

curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' \
  -d '{"model":"assistant","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"hello"}]}'
curl %s/v1/services/bookings/bench -H 'Authorization: Bearer %s' -H 'Idempotency-Key: 1' -d '{"bench":3}'
%s/zinniapaddle take-out --settings %s --failure-domain b
%s/zinniapaddle bring-back --settings %s --failure-domain b
`, site.Targets(), site.SettingsFile(0), site.Target(0), zpsite.Key(demoWorkspace), site.Target(1), zpsite.Key(demoWorkspace),
		c.Bin, site.SettingsFile(0), c.Bin, site.SettingsFile(0))
	<-ctx.Done()
	return nil
}

// startSmallSite starts the site of the demo. The returned function stops it and
// removes its files.
func startSmallSite(ctx context.Context, number int, bin string) (*zpsite.Site, func(), error) {
	dir, err := os.MkdirTemp("", "zinniapaddle-site-")
	if err != nil {
		return nil, nil, err
	}
	site, err := zpsite.New(zpsite.Config{
		Number: number, Dir: dir, BinDir: bin, Daemons: 3, Runners: 4, Services: 1, Stores: true,
		Workspaces: zpload.Oberland().Workspaces, Slots: engineSlots, ColdSlots: engineColdSlots,
	})
	if err != nil {
		return nil, nil, errors.Join(err, os.RemoveAll(dir))
	}
	stop := func() {
		site.Stop()
		_ = os.RemoveAll(dir)
	}
	if err := site.Start(ctx); err != nil {
		stop()
		return nil, nil, err
	}
	return site, stop, nil
}
