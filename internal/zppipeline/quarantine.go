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
	// crashProbeTimeout limits the check whether an endpoint crashed during a run.
	crashProbeTimeout = 300 * time.Millisecond
	// maxParallelNotifications limits the concurrent calls that report a crash to
	// other daemons.
	maxParallelNotifications = 32
)

var errQuarantined = zperror.New(zperror.KindInvalid, "request_quarantined",
	"this request was running at crashes of two endpoints",
	"change the request; if it is harmless, tell the operators its request id")

// quarantine rejects a request that crashed several endpoints, and marks one that
// may have crashed an endpoint as suspect, so that it runs alone.
func (p *Pipeline) quarantine(_ context.Context, j *Job) error {
	switch p.Quarantine.Status(j.Fingerprint, p.Clock()) {
	case zpquarantine.StatusBanned:
		return errQuarantined
	case zpquarantine.StatusSuspect:
		j.Suspect = true
	}
	return nil
}

// reportCrash checks whether the endpoint crashed during a broken run. If so, it
// tells all daemons before the request may run again. grantedBoot is the boot ID
// known to the owner. The endpoint's name and the boot ID identify the crash.
func (p *Pipeline) reportCrash(ctx context.Context, j *Job, e zpmanifest.Endpoint, grantedBoot string, o zpengine.Outcome) {
	if o.Kind != zpadmission.OutcomeBroken || zpmutant.Active(zpmutant.Quarantine) {
		return
	}
	boot := o.BootID
	if boot == "" {
		boot = grantedBoot
	}
	if !p.hasCrashed(ctx, e, boot) {
		return
	}
	p.Quarantine.RecordCrash(j.Fingerprint, e.Name+"/"+boot, p.Clock())
	p.broadcastCrashes(ctx, j.Fingerprint, p.Quarantine.Crashes(j.Fingerprint, p.Clock()))
}

func (p *Pipeline) hasCrashed(ctx context.Context, e zpmanifest.Endpoint, boot string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashProbeTimeout)
	defer cancel()
	r, err := p.Engine.Report(ctx, e)
	return err != nil || (boot != "" && r.Boot != boot)
}

func (p *Pipeline) broadcastCrashes(ctx context.Context, fingerprint string, crashes []string) {
	ctx = context.WithoutCancel(ctx)
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxParallelNotifications)
	for _, m := range zpassign.MembersInStates(p.Fleet.Cache.Members(), zpassign.MemberServing, zpassign.MemberLeaving) {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			// A daemon that misses the report detects the next crash by itself.
			_ = p.Exchange.ForMember(m).Suspect(ctx, fingerprint, crashes)
		})
	}
	wg.Wait()
}
