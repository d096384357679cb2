package zppipeline

import (
	"context"

	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

// ErrUnknownKey is returned to callers without a valid API key.
var ErrUnknownKey = zperror.New(zperror.KindDenied, "unknown_api_key",
	"the API key belongs to no workspace", "pass a key of the manifest as `Authorization: Bearer KEY`")

// identify sets the workspace of the caller's API key.
func (p *Pipeline) identify(key string) func(context.Context, *Job) error {
	return func(_ context.Context, j *Job) error {
		w, ok := j.Manifest.WorkspaceByKey(key)
		if key == "" || !ok {
			return ErrUnknownKey
		}
		j.Workspace = w
		return nil
	}
}
