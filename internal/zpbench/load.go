package zpbench

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpload"
)

type loadCommand struct {
	Target        []string          `required:"" help:"Base URLs of the daemons."`
	Key           map[string]string `required:"" help:"API keys by workspace, as NAME=KEY."`
	Mix           string            `default:"oberland" help:"oberland or etikettwerk."`
	Rate          float64           `default:"20" help:"Requests per second."`
	Duration      time.Duration     `default:"10s" help:"Duration of the load."`
	Seed          uint64            `default:"1" help:"Seed of the request schedule."`
	WeightVersion string            `default:"v1" help:"Weight version that answers are checked against."`
	Output        string            `enum:"table,json" default:"table" help:"table or json."`
}

// Run sends the load and prints the report.
func (c *loadCommand) Run(out *console) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	mix, err := zpload.MixByName(c.Mix)
	if err != nil {
		return err
	}
	l := &zpload.Load{
		Targets: c.Target, Keys: c.Key, Mix: mix, Rate: c.Rate, Duration: c.Duration, Seed: c.Seed, WeightVersion: c.WeightVersion,
	}
	reports := l.Run(ctx)
	if c.Output == "json" {
		return zpload.WriteJSON(out.out, reports)
	}
	return zpload.WriteTable(out.out, reports)
}
