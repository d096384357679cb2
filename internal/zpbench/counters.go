package zpbench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/zinniapaddle/zinniapaddle/internal/zpoperator"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer"
	"github.com/zinniapaddle/zinniapaddle/internal/zpsite"
	"github.com/zinniapaddle/zinniapaddle/internal/zpstandin"
)

// siteCounters holds totals over a whole site.
type siteCounters struct {
	promptTokens  float64
	cachedTokens  float64
	linkBytes     float64 // KV cache imports, and cross-region requests and responses
	duplicateRuns int
}

// readCounters sums the counters of the site. It skips engines that do not respond
// and daemons that are not running.
func readCounters(site *zpsite.Site) (siteCounters, error) {
	var c siteCounters
	for i, e := range site.Manifest.Endpoints {
		if e.Pool == zpsite.ModelPool {
			var s zpstandin.RunnerStats
			if getJSON(e.Address+"/control/stats", &s) == nil {
				c.promptTokens += float64(s.PromptTokens)
				c.cachedTokens += float64(s.CachedTokens)
			}
			continue
		}
		var s zpstandin.ServiceStats
		if err := getJSON(e.Address+"/control/stats", &s); err != nil {
			return c, fmt.Errorf("endpoint %d: %w", i, err)
		}
		c.duplicateRuns += s.Doubles
	}
	var link map[string]float64
	if err := getJSON(site.LinkURL()+"/control/stats", &link); err != nil {
		return c, err
	}
	c.linkBytes = link["bytes"]
	for i, d := range site.Daemons {
		if !d.Running() {
			continue
		}
		crossRegionBytes, err := readMetric(site.AdminURL(i)+"/metrics", "zinniapaddle_cross_region_bytes_total")
		if err != nil {
			return c, err
		}
		c.linkBytes += crossRegionBytes
	}
	return c, nil
}

// readMetric returns the sum over all series of a counter or gauge.
func readMetric(url, name string) (float64, error) {
	res, err := http.Get(url)
	if err != nil {
		return 0, err
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(res.Body)
	if err := errors.Join(err, res.Body.Close()); err != nil {
		return 0, err
	}
	sum := 0.0
	for _, m := range families[name].GetMetric() {
		sum += m.GetCounter().GetValue() + m.GetGauge().GetValue()
	}
	return sum, nil
}

// setDomain takes a failure domain out or brings it back.
func setDomain(site *zpsite.Site, name string, out bool) error {
	dialer := &zppeer.Dialer{Timeout: time.Second}
	dialer.Open()
	o := &zpoperator.Operator{
		API:      site.API,
		Exchange: &zppeer.ServiceResolver{Self: "operator", SelfAddress: "none", Dialer: dialer},
	}
	_, err := o.Change(context.Background(), zpoperator.SetDomainOut(name, out))
	return err
}

func getJSON(url string, v any) error {
	res, err := http.Get(url)
	if err != nil {
		return err
	}
	return errors.Join(json.NewDecoder(res.Body).Decode(v), res.Body.Close())
}
