package zpconfig

import (
	"fmt"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

// applyManifest puts a manifest in force if it is complete and valid and its
// version is higher than that of the manifest in force. It parses only parts that
// are not yet in force.
func (c *Cache) applyManifest(o zpobject.Object) (bool, error) {
	if o.Deleted {
		return false, fmt.Errorf("manifest was deleted at revision %d", o.Revision)
	}
	h, err := zpmanifest.DecodeHead(o.Body)
	if err != nil {
		return false, err
	}
	if c.manifest != nil && h.Version <= c.manifest.Version && !zpmutant.Active(zpmutant.VersionOrder) {
		return false, fmt.Errorf("manifest version %d is not above %d", h.Version, c.manifest.Version)
	}
	parts, err := c.parseParts(h)
	if err != nil {
		return false, err
	}
	m, err := zpmanifest.Join(h, parts)
	if err != nil {
		return false, err
	}
	if err := zpmanifest.ValidationError(m.Validate()); err != nil {
		return false, err
	}
	if err := zpmanifest.CheckChange(c.manifest, m); err != nil {
		return false, err
	}
	m.BuildIndex()
	c.manifest, c.parts = m, parts
	return true, nil
}

func (c *Cache) parseParts(h zpmanifest.Head) (map[string]*zpmanifest.Manifest, error) {
	parts := map[string]*zpmanifest.Manifest{}
	for _, name := range h.Parts {
		if p := c.parts[name]; p != nil {
			parts[name] = p
			continue
		}
		o, ok := c.objects[PartPrefix+name]
		if !ok || o.Deleted {
			continue // Join returns an error for the missing part
		}
		p, err := zpmanifest.ParsePart(o.Body)
		if err != nil {
			return nil, err
		}
		parts[name] = p
	}
	return parts, nil
}
