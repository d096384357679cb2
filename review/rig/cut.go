package rig

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/zinniapaddle/zinniapaddle/internal/zpsoak"
)

type (
	// network holds the links of a site whose zones can be cut off.
	network struct {
		links []zoneLink
	}

	// zoneLink is a way between two zones, or from a zone to the store.
	zoneLink struct {
		*zpsoak.Link
		from, to string // zones; the store is in none
	}

	// storeView is the store as one daemon sees it: the addresses of the other daemons
	// are those of the links to them.
	storeView struct {
		store    http.Handler
		replacer *strings.Replacer
	}
)

// ServeHTTP implements http.Handler.
func (v *storeView) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	recorded := httptest.NewRecorder()
	v.store.ServeHTTP(recorded, r)
	body := v.replacer.Replace(recorded.Body.String())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(recorded.Code)
	_, _ = w.Write([]byte(body)) // fails only if the daemon has closed the connection
}

// link opens the links of a daemon to the store and to the other daemons, before it starts.
func (s *Site) link(d *Daemon, index, daemons int) error {
	view := fmt.Sprintf("%s.3.%d:%d", s.base, 10+index, StorePort)
	d.store = fmt.Sprintf("%s.2.%d:%d", s.base, 10+index, StorePort)
	if err := s.network.open(d.store, view, d.Zone, ""); err != nil {
		return err
	}
	var replacements []string
	for other := range daemons {
		if other == index {
			continue
		}
		target := fmt.Sprintf("%s.1.%d:%d", s.base, 10+other, PeersPort)
		address := fmt.Sprintf("%s.%d.%d:%d", s.base, 100+index, 10+other, PeersPort)
		if err := s.network.open(address, target, d.Zone, s.zoneOf(other)); err != nil {
			return err
		}
		replacements = append(replacements, target, address)
	}
	return s.Serve(view, &storeView{store: s.Store, replacer: strings.NewReplacer(replacements...)})
}

func (s *Site) zoneOf(index int) string {
	if s.Placement != nil {
		return s.Placement[index]
	}
	return Zones[index%len(Zones)]
}

func (n *network) open(listen, target, from, to string) error {
	l := &zpsoak.Link{Listen: listen, Target: target}
	n.links = append(n.links, zoneLink{l, from, to})
	return l.Open()
}

func (n *network) close() {
	for _, l := range n.links {
		l.Close()
	}
}

// CutZone cuts a zone off from the other zones and from the store, silently. Clients still
// reach it, and it reaches the runners in it.
func (s *Site) CutZone(zone string) {
	s.setZone(zone, zpsoak.LinkMode{HoldToTarget: true, HoldFromTarget: true})
}

// HealZone ends the cut of a zone.
func (s *Site) HealZone(zone string) { s.setZone(zone, zpsoak.LinkMode{}) }

func (s *Site) setZone(zone string, m zpsoak.LinkMode) {
	for _, l := range s.network.links {
		if (l.from == zone) != (l.to == zone) {
			l.SetMode(m)
		}
	}
}
