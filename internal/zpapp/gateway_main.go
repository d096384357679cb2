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

// memoryLimitShare is the share of the VM's memory set as the soft memory limit of the
// Go runtime, near which it collects garbage regardless of the CPU cost. Part of
// the rest is for socket buffers, which this limit does not count.
const memoryLimitShare = 0.6

// answerBufferShare is the share of the VM's memory for buffering incomplete answers.
const answerBufferShare = 0.1

// answerBufferBytes returns the bytes for buffered answers on a VM with vm bytes of
// memory; 0 means that the size is unknown.
func answerBufferBytes(vm int64) int64 {
	if vm <= 0 {
		return zpengine.DefaultMemoryBytes
	}
	return int64(float64(vm) * answerBufferShare)
}

// RunGateway runs a daemon with the platform's settings file until ctx ends.
// SIGHUP reads the file again.
func RunGateway(ctx context.Context, path string, out io.Writer) error {
	node, err := zpplatform.LoadNode(path)
	if err != nil {
		return err
	}
	if node.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(node.Memory) * memoryLimitShare))
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
