package zpmanifest

import (
	"fmt"

	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

// CheckChange returns an error for a change that cannot be rolled out safely while
// some daemons still use the old manifest.
func CheckChange(old, updated *Manifest) error {
	if old == nil {
		return nil
	}
	if old.ClaimShards != updated.ClaimShards {
		return immutableValueError("claim_shards", old.ClaimShards, updated.ClaimShards, "a key would move to another shard and could run twice")
	}
	if old.Partitions != updated.Partitions {
		return immutableValueError("partitions", old.Partitions, updated.Partitions, "an endpoint would have two owners for a while")
	}
	return nil
}

func immutableValueError(key string, old, updated int, reason string) error {
	return zperror.New(zperror.KindInvalid, "manifest_fixed_value",
		fmt.Sprintf("%s cannot change from %d to %d: %s", key, old, updated, reason),
		fmt.Sprintf("keep %s at %d", key, old))
}
