package zpforecast

import (
	"maps"
	"time"
)

type (
	// Shares knows how much of the work of a line each workspace usually asks for. The zero
	// value is ready to use. It is not safe for concurrent use.
	Shares struct {
		asked   map[string]asked
		total   float64 // of all workspaces, at totalAt
		totalAt time.Time
	}

	// asked is the work that a workspace has asked for, weighted by its age.
	asked struct {
		work float64
		at   time.Time
	}
)

const (
	// usualWindow is the time over which the usual share of a workspace is averaged. Bursts
	// are much shorter.
	usualWindow = time.Minute
	// overFactor is how many times as much of what waits as usual, against that of all others,
	// a workspace may have before its requests go after theirs.
	overFactor = 2
	// equalPart is the part of an equal share that each workspace has at least, however
	// little it usually asks for.
	equalPart = 0.5
	// maxWorkspaces bounds the memory.
	maxWorkspaces = 4096
)

// Record records that a workspace asks for work.
func (s *Shares) Record(workspace string, work float64, now time.Time) {
	if s.asked == nil {
		s.asked = map[string]asked{}
	}
	if _, known := s.asked[workspace]; !known && len(s.asked) >= maxWorkspaces {
		s.removeIdle(now)
	}
	s.asked[workspace] = asked{work: s.usual(workspace, now) + work, at: now}
	s.total, s.totalAt = s.total*decay(now.Sub(s.totalAt), usualWindow)+work, now
}

// IsOver reports whether a workspace has clearly more of the work that waits in the fleet than
// its usual share. waiting is its work and total that of all workspaces.
func (s *Shares) IsOver(workspace string, waiting, total float64, now time.Time) bool {
	sum := s.total * decay(now.Sub(s.totalAt), usualWindow)
	if len(s.asked) < 2 || total <= 0 || sum <= 0 {
		return false
	}
	share := max(s.usual(workspace, now)/sum, equalPart/float64(len(s.asked)))
	return waiting*(1-share) > overFactor*share*(total-waiting)
}

func (s *Shares) usual(workspace string, now time.Time) float64 {
	a, ok := s.asked[workspace]
	if !ok {
		return 0
	}
	return a.work * decay(now.Sub(a.at), usualWindow)
}

// removeIdle forgets the workspaces that have asked for nothing for a while, or all if there
// are none.
func (s *Shares) removeIdle(now time.Time) {
	maps.DeleteFunc(s.asked, func(_ string, a asked) bool { return now.Sub(a.at) > usualWindow })
	if len(s.asked) >= maxWorkspaces {
		*s = Shares{asked: map[string]asked{}}
	}
}
