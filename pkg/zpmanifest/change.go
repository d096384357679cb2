package zpmanifest

import (
	"fmt"

	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

// CheckChange refuses a change that could not take effect safely while old and
// new daemons run side by side.
func CheckChange(old, updated *Manifest) error {
	if old == nil {
		return nil
	}
	if old.ClaimShards != updated.ClaimShards {
		return fixed("claim_shards", old.ClaimShards, updated.ClaimShards, "a key would move to another shard and could run twice")
	}
	if old.Partitions != updated.Partitions {
		return fixed("partitions", old.Partitions, updated.Partitions, "an endpoint would have two owners for a while")
	}
	return nil
}

func fixed(key string, old, updated int, why string) error {
	return zperror.New(zperror.KindInvalid, "manifest_fixed_value",
		fmt.Sprintf("%s cannot change from %d to %d: %s", key, old, updated, why),
		fmt.Sprintf("keep %s at %d", key, old))
}
