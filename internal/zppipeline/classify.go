package zppipeline

import (
	"context"
	"fmt"
	"net/http"

	"github.com/zinniapaddle/zinniapaddle/internal/zpprefix"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
)

var errKeyRequired = zperror.New(zperror.KindInvalid, "idempotency_key_required",
	"this service runs a request at most once and needs a key for that",
	"send the header Idempotency-Key with a value of your own for each booking")

// classifyPrompt sets the model, its pool and the names of the prompt's blocks,
// and decides whether the prompt is urgent.
func (p *Pipeline) classifyPrompt(_ context.Context, j *Job) error {
	m, ok := j.Manifest.ModelByName(j.Prompt.Model)
	if !ok {
		return zperror.New(zperror.KindNotFound, "unknown_model",
			fmt.Sprintf("there is no model %q", j.Prompt.Model), "use a model named by GET /v1/models")
	}
	j.Model = m
	j.Pool, _ = j.Manifest.PoolByName(m.Pool)
	j.Salt = zpprefix.NewSalt(j.Workspace.CacheKey, j.Workspace.Name, m.Name, m.WeightVersion)
	j.Blocks = zpprefix.BlockNames(j.Salt, j.Prompt.Text)
	j.Tokens = len(j.Prompt.Text)/zpprefix.BytesPerToken + 1
	j.Fingerprint = zpprefix.Fingerprint(fingerprintSalt(j.Workspace), []byte(m.Name+"\x00"+j.Prompt.Text))
	switch j.Prompt.Urgency {
	case UrgencyUrgent:
		j.Urgent = true
	case UrgencyUnset:
		j.Urgent = int64(j.Tokens) <= p.Settings.Routing.UrgentMaxTokens
	}
	return nil
}

// classifyService sets the pool of the service and decides whether the call is
// idempotent.
func (p *Pipeline) classifyService(_ context.Context, j *Job) error {
	pool, ok := j.Manifest.PoolByName(j.Service.Service)
	if !ok || pool.Kind != zpmanifest.PoolKindService {
		return zperror.New(zperror.KindNotFound, "unknown_service",
			fmt.Sprintf("there is no service %q", j.Service.Service), "use a pool of the manifest with kind: service")
	}
	j.Pool = pool
	j.Urgent = true
	switch j.Service.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		j.Idempotent = true
	default:
		j.Idempotent = pool.ReadOnly
	}
	if pool.RequireKey && !j.Idempotent && j.Service.IdempotencyKey == "" {
		return errKeyRequired
	}
	return nil
}

// fingerprintSalt returns a salt that depends only on the workspace, so that a
// request has the same fingerprint for all weight versions.
func fingerprintSalt(w zpmanifest.Workspace) zpprefix.Salt {
	return zpprefix.NewSalt(w.CacheKey, w.Name, "", "")
}
