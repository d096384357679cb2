package zpbench

import (
	"context"
	"errors"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpstandin"
)

type (
	listenFlag struct {
		Listen string `required:"" help:"IP:PORT to listen on."`
	}

	platformCommand struct{ listenFlag }

	serviceCommand struct {
		listenFlag
		Name   string `default:"service" help:"Name of the endpoint."`
		WorkMS int    `default:"5" help:"Processing time of one request."`
	}

	storeCommand struct {
		listenFlag
		Region       string `help:"Region of the store."`
		MemoryBlocks int    `default:"2000" help:"Capacity in memory, in blocks."`
		DiskBlocks   int    `default:"20000" help:"Capacity on disk, in blocks."`
	}

	linkCommand struct {
		listenFlag
		BytesPerSecond int64 `default:"3750000" help:"Bandwidth in each direction."`
		LatencyMS      int   `default:"20" help:"One-way latency."`
	}

	runnerCommand struct {
		listenFlag
		Name         string `default:"runner" help:"Name of the endpoint."`
		Slots        int    `default:"8" help:"Requests decoded concurrently."`
		Prefill      int    `default:"8000" help:"Prefill rate in tokens per second."`
		DecodeMS     int    `default:"8" help:"Decode time per token."`
		CacheBlocks  int    `default:"400" help:"Capacity of the prefix cache, in blocks."`
		ColdMS       int    `default:"2000" help:"Duration of a cold start."`
		ColdBearable int    `default:"2" help:"Concurrent requests above which a cold engine drops all streams."`
		ColdFactor   int    `default:"4" help:"Slowdown factor of a cold engine."`
		StartCold    bool   `help:"Start cold."`
		RestartMS    int    `default:"500" help:"Time without connections after a crash."`
		ReportLagMS  int    `default:"300" help:"Lag of the load report."`
		Version      string `default:"v1" help:"Weight version of new requests."`
		Fencing      bool   `help:"Reject commands with a stale fencing number."`
		BlockBytes   int    `default:"32768" help:"KV cache size of one block in bytes."`
		Region       string `help:"Region of the engine."`
		Link         string `help:"Base URL of the link stand-in."`
	}
)

const headerTimeout = 5 * time.Second

// Run serves the platform stand-in.
func (c *platformCommand) Run() error { return serve(c.Listen, zpstandin.NewPlatform().Handler(), nil) }

// Run serves the service stand-in.
func (c *serviceCommand) Run() error {
	s := zpstandin.NewService(c.Name, time.Duration(c.WorkMS)*time.Millisecond)
	return serve(c.Listen, s.Handler(), nil)
}

// Run serves the store stand-in.
func (c *storeCommand) Run() error {
	s, err := zpstandin.NewStore(c.Region, c.MemoryBlocks, c.DiskBlocks)
	if err != nil {
		return err
	}
	return serve(c.Listen, s.Handler(), nil)
}

// Run serves the link stand-in.
func (c *linkCommand) Run() error {
	l := &zpstandin.Link{BytesPerSecond: c.BytesPerSecond, Latency: time.Duration(c.LatencyMS) * time.Millisecond}
	return serve(c.Listen, l.Handler(), nil)
}

// Run serves the engine stand-in.
func (c *runnerCommand) Run() error {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	r, err := zpstandin.NewRunner(zpstandin.RunnerConfig{
		Name: c.Name, Slots: c.Slots, PrefillTokens: c.Prefill, Decode: ms(c.DecodeMS), CacheBlocks: c.CacheBlocks,
		ColdFor: ms(c.ColdMS), ColdBearable: c.ColdBearable, ColdFactor: c.ColdFactor, StartCold: c.StartCold,
		RestartFor: ms(c.RestartMS), ReportLag: ms(c.ReportLagMS), Version: c.Version, Fencing: c.Fencing,
		BlockBytes: c.BlockBytes, Region: c.Region, LinkAddress: c.Link,
	})
	if err != nil {
		return err
	}
	return serve(c.Listen, r.Handler(), r.Run)
}

// serve runs the HTTP server until SIGTERM or SIGINT, and runs background
// concurrently unless it is nil.
func serve(listen string, h http.Handler, background func(context.Context)) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if background != nil {
		go background(ctx)
	}
	server := &http.Server{Addr: listen, Handler: h, ReadHeaderTimeout: headerTimeout}
	go func() {
		<-ctx.Done()
		// Stand-ins need no graceful shutdown.
		_ = server.Close()
	}()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
