package zpapp

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	zpplatform "github.com/zinniapaddle/zinniapaddle/platform"
)

// memoryShare is the part of the VM's memory at which the runtime collects
// garbage without regard to its cost. Unread bytes of sockets count too.
const memoryShare = 0.6

// answerShare is the part of the VM's memory for answers that are not whole yet.
const answerShare = 0.1

// answerMemory returns the bytes for answers on a VM with so much memory; zero:
// unknown.
func answerMemory(vm int64) int64 {
	if vm <= 0 {
		return zpengine.DefaultMemory
	}
	return int64(float64(vm) * answerShare)
}

// RunGateway runs a daemon by the platform's settings file until ctx ends.
// SIGHUP reads the file again.
func RunGateway(ctx context.Context, path string, out io.Writer) error {
	node, err := zpplatform.LoadNode(path)
	if err != nil {
		return err
	}
	if node.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(node.Memory) * memoryShare))
	}
	lines := zplog.NewWriter(out)
	defer lines.Close()
	log, err := zplog.New(lines, node.Settings.Log.Level, node.Settings.Log.Format)
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
