package zpcommand

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/zinniapaddle/zinniapaddle/internal/zpapp"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpsettings"
)

// settingsFlag is the flag for the settings file, shared by commands.
type settingsFlag struct {
	Settings string `required:"" type:"path" help:"Settings file of the daemon." placeholder:"FILE"`
}

type serveCommand struct {
	Settings string `xor:"settings" required:"" type:"path" help:"Settings file of the daemon." placeholder:"FILE"`
	Node     string `xor:"settings" required:"" type:"path" env:"ZINNIAPADDLE_NODE_FILE" help:"Settings file that the users' platform writes; serves routed requests there." placeholder:"FILE"`
}

// Run runs the daemon.
func (c *serveCommand) Run(out *consoleOutput) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if c.Node != "" && c.Settings == "" {
		return zpapp.RunGateway(ctx, c.Node, out.out)
	}
	s, err := zpsettings.Load(c.Settings)
	if err != nil {
		return err
	}
	log, err := zplog.New(out.err, s.Log.Level, s.Log.Format)
	if err != nil {
		return err
	}
	return zpapp.Run(ctx, s, log)
}
