package zpapp

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmemory"
	zpplatform "github.com/zinniapaddle/zinniapaddle/platform"
)

// RunGateway runs a daemon with the platform's settings file until ctx ends.
// SIGHUP reads the file again.
func RunGateway(ctx context.Context, path string, out io.Writer) error {
	node, err := zpplatform.LoadNode(path)
	if err != nil {
		return err
	}
	if limit := zpmemory.PlanFor(node.Memory).GoLimit; limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	logWriter := zplog.NewWriter(out)
	defer logWriter.Close()
	log, err := zplog.New(logWriter, node.Settings.Log.Level, node.Settings.Log.Format)
	if err != nil {
		return err
	}
	d := NewGatewayDaemon(node, log)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	go func() {
		for {
			select {
			case <-hangups:
				d.Reload(path)
			case <-ctx.Done():
				return
			}
		}
	}()
	return d.Run(ctx)
}
