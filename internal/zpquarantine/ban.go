package zpquarantine

import (
	"encoding/json"
	"fmt"
	"time"
)

type (
	// Ban is what the store keeps of a fingerprint that is refused: daemons that start when
	// no other one runs learn it from there.
	Ban struct {
		Fingerprint string
		Reports     []Report // crashes of the fingerprint
	}

	wireBan struct {
		Fingerprint string       `json:"fingerprint"`
		WrittenMS   int64        `json:"written_ms"` // Unix time
		Reports     []wireReport `json:"reports"`
	}

	wireReport struct {
		Crash        string   `json:"crash"`
		Workspace    string   `json:"workspace"`
		CrashAgeMS   int64    `json:"crash_age_ms"` // when the record was written
		RanMS        int64    `json:"ran_ms"`       // from the send to the crash
		Fingerprints []string `json:"fingerprints"`
		OnTrial      bool     `json:"on_trial,omitempty"`
	}
)

// EncodeBan returns a ban as JSON. now is the time on the clock of the reports, and
// timeOfDay the same moment as time of day, which other VMs can read.
func EncodeBan(b Ban, now, timeOfDay time.Time) ([]byte, error) {
	w := wireBan{Fingerprint: b.Fingerprint, WrittenMS: timeOfDay.UnixMilli()}
	for _, r := range b.Reports {
		w.Reports = append(w.Reports, wireReport{
			Crash: r.Crash, Workspace: r.Workspace, CrashAgeMS: now.Sub(r.CrashedAt).Milliseconds(),
			RanMS: r.CrashedAt.Sub(r.SentAt).Milliseconds(), Fingerprints: r.Fingerprints, OnTrial: r.OnTrial,
		})
	}
	return json.Marshal(w)
}

// DecodeBan parses a record written by EncodeBan, here or on another VM.
func DecodeBan(data []byte, now, timeOfDay time.Time) (Ban, error) {
	var w wireBan
	if err := json.Unmarshal(data, &w); err != nil {
		return Ban{}, fmt.Errorf("decode ban: %w", err)
	}
	writtenAt := now.Add(-max(timeOfDay.Sub(time.UnixMilli(w.WrittenMS)), 0))
	b := Ban{Fingerprint: w.Fingerprint}
	for _, r := range w.Reports {
		crashedAt := writtenAt.Add(-time.Duration(r.CrashAgeMS) * time.Millisecond)
		b.Reports = append(b.Reports, Report{
			Crash: r.Crash, CrashedAt: crashedAt, SentAt: crashedAt.Add(-time.Duration(r.RanMS) * time.Millisecond),
			Workspace: r.Workspace, Fingerprints: r.Fingerprints, OnTrial: r.OnTrial,
		})
	}
	return b, nil
}

// ExpiresAt returns when the last crash of the ban no longer counts.
func (b Ban) ExpiresAt(retention time.Duration) time.Time {
	var last time.Time
	for _, r := range b.Reports {
		if r.CrashedAt.After(last) {
			last = r.CrashedAt
		}
	}
	return last.Add(retention)
}
