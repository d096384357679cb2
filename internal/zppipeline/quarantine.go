package zppipeline

import (
	"context"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpadmission"
	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/internal/zpquarantine"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
)

const (
	// crashProbe bounds the look whether an endpoint crashed under a request.
	crashProbe = 300 * time.Millisecond
	// notifyParallel bounds the calls that spread a report of a crash.
	notifyParallel = 32
)

var errQuarantined = zperror.New(zperror.KindInvalid, "request_quarantined",
	"this request was running at crashes of two endpoints",
	"change the request; if it is harmless, tell the operators its request id")

// quarantine refuses a request that crashes endpoints, and marks a suspect to
// run alone.
func (p *Pipeline) quarantine(_ context.Context, j *Job) error {
	switch p.Quarantine.Standing(j.Fingerprint, p.Clock()) {
	case zpquarantine.StandingBanned:
		return errQuarantined
	case zpquarantine.StandingSuspect:
		j.Suspect = true
	}
	return nil
}

// noteCrash looks whether the endpoint crashed under a broken run, and if so
// tells every daemon before the request may run again. grantBoot is the boot
// identity that the owner knew; with the endpoint's name it names the fall.
func (p *Pipeline) noteCrash(ctx context.Context, j *Job, e zpmanifest.Endpoint, grantBoot string, o zpengine.Outcome) {
	if o.Kind != zpadmission.OutcomeBroken || zpmutant.Active(zpmutant.Quarantine) {
		return
	}
	boot := o.Boot
	if boot == "" {
		boot = grantBoot
	}
	if !p.crashed(ctx, e, boot) {
		return
	}
	p.Quarantine.Note(j.Fingerprint, e.Name+"/"+boot, p.Clock())
	p.spread(ctx, j.Fingerprint, p.Quarantine.Crashes(j.Fingerprint, p.Clock()))
}

func (p *Pipeline) crashed(ctx context.Context, e zpmanifest.Endpoint, boot string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashProbe)
	defer cancel()
	r, err := p.Engine.Report(ctx, e)
	return err != nil || (boot != "" && r.Boot != boot)
}

func (p *Pipeline) spread(ctx context.Context, fingerprint string, crashes []string) {
	ctx = context.WithoutCancel(ctx)
	var wg sync.WaitGroup
	slots := make(chan struct{}, notifyParallel)
	for _, m := range zpassign.Live(p.Fleet.Cache.Members(), zpassign.MemberServing, zpassign.MemberLeaving) {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			// A daemon that misses the report learns from a crash of its own.
			_ = p.Exchange.To(m).Suspect(ctx, fingerprint, crashes)
		})
	}
	wg.Wait()
}
