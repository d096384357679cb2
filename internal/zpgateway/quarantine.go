package zpgateway

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/internal/zpprefix"
	"github.com/zinniapaddle/zinniapaddle/internal/zpquarantine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
)

const (
	// harmlessEvents is the number of events after which the parts of a prompt count as
	// harmless. An engine may still send the first event before it crashes.
	harmlessEvents = 2
	// refusalTimeout bounds the wait for an endpoint to refuse a connection, besides the time
	// for which one is watched, as the request waits too. It is more than twice the round trip between regions.
	refusalTimeout = 100 * time.Millisecond
	// maxReportedFingerprints bounds the size of a crash report.
	maxReportedFingerprints = 256
	// reportAnswers is how many daemons, on average, answer a report that names what all
	// of them know to be harmless.
	reportAnswers = 3
	// trialDuration is how long a trial usually takes to its second event.
	trialDuration = time.Second
)

// fingerprintsOf returns what a request may crash an endpoint with: all of its content,
// which differs between workspaces, and then each shared part of its prompt.
func fingerprintsOf(j *job) []string {
	q := j.request
	var ids []string
	if q.Prompt != nil {
		for _, p := range q.Prompt.Parts {
			ids = append(ids, p.ID)
		}
	}
	content := strings.Join([]string{q.Method, q.Host, q.URL, strings.Join(ids, ","), string(q.Body)}, "\x00")
	out := []string{zpprefix.Fingerprint(zpprefix.NewSalt(j.workspaceName(), j.workspaceName(), "", ""), []byte(content))}
	for _, p := range q.Prompt.SharedParts() {
		out = append(out, zpquarantine.PartFingerprint(p.ID))
	}
	return out
}

// partFingerprints returns the fingerprints of the prompt's parts.
func (j *job) partFingerprints() []string { return j.fingerprints[1:] }

// checkQuarantine returns an error if the request would probably crash an endpoint and is
// not on trial.
func (g *Gateway) checkQuarantine(j *job) error {
	now := g.Clock()
	f := g.Quarantine.Check(j.workspaceName(), j.fingerprints, now)
	if f.Status != zpquarantine.StatusBanned || j.trial != nil && f == *j.trial {
		return nil
	}
	return g.refuseBanned(f, now)
}

// refuseBanned returns the error for a banned request. It is final unless another request
// is about to show whether the ban is right.
func (g *Gateway) refuseBanned(f zpquarantine.Finding, now time.Time) error {
	cause := fmt.Errorf("%d crashes with %s", f.Crashes, f.Fingerprint)
	next, ok := g.Quarantine.NextTrial(f)
	if !f.IsContested || !ok {
		return errQuarantined.WithCause(cause)
	}
	return errSuspected.WithRetryAfter(max(next.Sub(now), trialDuration)).WithCause(cause)
}

// requireTrial is checkQuarantine, but puts a banned request on trial if one is due.
func (g *Gateway) requireTrial(ctx context.Context, j *job) error {
	err := g.checkQuarantine(j)
	if err == nil {
		return nil
	}
	now := g.Clock()
	f := g.Quarantine.Check(j.workspaceName(), j.fingerprints, now)
	if f.Status != zpquarantine.StatusBanned {
		return nil // cleared meanwhile
	}
	if next, ok := g.Quarantine.NextTrial(f); !ok || now.Before(next) || !g.RequestTrial(ctx, f.Fingerprint) {
		return err
	}
	j.trial = &f
	g.Metrics.Trials.Inc()
	g.Log.Emit(zplog.TrialBegun, g.logFields(j, zplog.Fields{"fingerprint": f.Fingerprint, "crashes": f.Crashes, "contested": f.IsContested}))
	// The answer took time: a crash may have become known meanwhile.
	return g.checkQuarantine(j)
}

// hasSuspectedPart reports whether the request could crash another endpoint because of a
// part. The request as a whole may be sent once more after a crash, as most of those that
// were running at it did not cause it.
func (g *Gateway) hasSuspectedPart(j *job) bool {
	return g.Quarantine.Check(j.workspaceName(), j.partFingerprints(), g.Clock()).Status != zpquarantine.StatusClear
}

// recordComplete records a request with a complete response. A stream without an event may
// have been cut off by a crash.
func (g *Gateway) recordComplete(ctx context.Context, j *job, e zpregistry.Endpoint) {
	if j.route.Kind == zpcatalog.KindStream && j.events == 0 {
		g.recordBroken(ctx, j, e)
		return
	}
	g.recordHarmless(j, j.fingerprints)
}

// recordHarmless records that what the fingerprints stand for does not crash endpoints,
// and tells other daemons if it was suspected.
func (g *Gateway) recordHarmless(j *job, fingerprints []string) {
	cleared := g.Quarantine.RecordHarmless(fingerprints, g.Clock())
	if len(cleared) == 0 {
		return
	}
	g.Log.Emit(zplog.SuspicionCleared, g.logFields(j, zplog.Fields{"fingerprints": cleared}))
	g.AnnounceHarmless(cleared)
}

// recordBroken records a request whose response broke off, and attributes a crash to it if
// the endpoint accepts no connections any more. Otherwise the crash is detected when the
// store removes the endpoint. One that leaves breaks off what it has not finished.
func (g *Gateway) recordBroken(ctx context.Context, j *job, e zpregistry.Endpoint) {
	if zpmutant.Active(zpmutant.Quarantine) || g.isLeaving(e) {
		return
	}
	now := g.Clock()
	r := zpquarantine.Report{
		Crash: crashOf(e), CrashedAt: now, SentAt: j.sentAt, Workspace: j.workspaceName(),
		Fingerprints: g.suspectedFingerprints(j, now), OnTrial: j.trial != nil,
	}
	g.brokenResponses.add(e.ID, r, now)
	if g.hasCrashed(ctx, e, 0) {
		g.recordCrash(r)
	}
}

// isLeaving reports whether the end of an endpoint is planned.
func (g *Gateway) isLeaving(e zpregistry.Endpoint) bool {
	current, ok := g.Registry.Find(e.ID)
	return !ok || current.State == zpregistry.StateDraining || g.Registry.IsLeaving(e.ID)
}

// hasCrashed reports whether an endpoint accepts no connections any more. watch is how long
// a connection that it accepts is watched.
func (g *Gateway) hasCrashed(ctx context.Context, e zpregistry.Endpoint, watch time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), watch+refusalTimeout)
	defer cancel()
	return g.IsRefusing(ctx, e.Address, watch)
}

// suspectedFingerprints returns the fingerprints of a request whose response broke off that
// may have crashed the endpoint.
func (g *Gateway) suspectedFingerprints(j *job, now time.Time) []string {
	out := j.fingerprints
	if j.events >= harmlessEvents {
		return out[:1]
	}
	if len(out) > maxReportedFingerprints {
		out = g.Quarantine.NotHarmless(out, now)
	}
	return out[:min(len(out), maxReportedFingerprints)]
}

// recordCrash attributes a crash to a request and tells other daemons.
func (g *Gateway) recordCrash(r zpquarantine.Report) {
	if recorded := g.MergeCrash(r, ""); len(recorded) > 0 {
		g.Metrics.Crashes.Inc()
		r.Fingerprints = recorded
		g.AnnounceCrash(r)
	}
}

// MergeCrash records a report of a crash, from this daemon or from the one named, and
// returns the fingerprints for which it is news.
func (g *Gateway) MergeCrash(r zpquarantine.Report, daemon string) []string {
	now := g.Clock()
	if daemon != "" {
		g.answerReport(r, now)
	}
	recorded := g.Quarantine.RecordCrash(r, now)
	if len(recorded) == 0 {
		return nil
	}
	g.Log.Emit(zplog.CrashRecorded, zplog.Fields{
		"crash": r.Crash, "workspace": r.Workspace, "fingerprints": recorded, "daemon": daemon, "on_trial": r.OnTrial,
		"crash_age_ms": now.Sub(r.CrashedAt).Milliseconds(), "ran_ms": r.CrashedAt.Sub(r.SentAt).Milliseconds(),
	})
	if f := g.Quarantine.Check(r.Workspace, r.Fingerprints, now); f.Status == zpquarantine.StatusBanned {
		g.Log.Emit(zplog.RequestsQuarantined, zplog.Fields{"fingerprint": f.Fingerprint, "crashes": f.Crashes, "contested": f.IsContested, "workspace": r.Workspace})
		g.Metrics.Quarantined.Inc()
	}
	return recorded
}

// answerReport tells the other daemons which fingerprints of a report from one of them are
// known here to be harmless. A daemon that refuses them could not find out by itself.
func (g *Gateway) answerReport(r zpquarantine.Report, now time.Time) {
	known := g.Quarantine.Harmless(r.Fingerprints, now)
	if len(known) > 0 && g.Random()*float64(len(g.Daemons())) < reportAnswers {
		g.AnnounceHarmless(known)
	}
}

// MergeHarmless records fingerprints that another daemon has found to be harmless.
func (g *Gateway) MergeHarmless(fingerprints []string, daemon string) {
	if cleared := g.Quarantine.RecordHarmless(fingerprints, g.Clock()); len(cleared) > 0 {
		g.Log.Emit(zplog.SuspicionCleared, zplog.Fields{"fingerprints": cleared, "daemon": daemon})
	}
}

// HandleEndpointRemoved handles the removal of an endpoint. It attributes the crash to the
// requests whose responses broke off just before.
func (g *Gateway) HandleEndpointRemoved(e zpregistry.Endpoint) {
	for _, r := range g.brokenResponses.take(e.ID, g.Clock()) {
		g.recordCrash(r)
	}
	g.Health.Forget(e.ID)
	g.Speed.Forget(e.ID)
	g.Parts.Forget(e.ID)
	g.starts.forget(e.ID)
}

// crashOf returns the id of the crash that ends a run of an endpoint.
func crashOf(e zpregistry.Endpoint) string { return fmt.Sprintf("%s/%d", e.ID, e.StartedAtMS) }
