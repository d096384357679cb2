package zpcommand

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/zinniapaddle/zinniapaddle/internal/zpapp"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpsettings"
)

// settingsFlag names the settings file of a command.
type settingsFlag struct {
	Settings string `required:"" type:"path" help:"Settings file of the daemon." placeholder:"FILE"`
}

type serveCommand struct {
	settingsFlag
}

// Run runs the daemon.
func (c *serveCommand) Run(out *console) error {
	s, err := zpsettings.Load(c.Settings)
	if err != nil {
		return err
	}
	log, err := zplog.New(out.err, s.Log.Level, s.Log.Format)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return zpapp.Run(ctx, s, log)
}
