package zpsoak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/platform/zpoutside"
)

type (
	// storeView is the store as one daemon sees it. The addresses of endpoints and of daemons are
	// those of the daemon's links to them.
	storeView struct {
		store    http.Handler
		replacer *strings.Replacer
	}

	// links are those of all daemons to one endpoint or daemon, by daemon.
	links []*Link
)

// firstEndpointGroup is the group of addresses of the first daemon's links to endpoints, and
// firstPeerGroup that of its links to daemons. All groups from either on have as many digits.
const (
	firstEndpointGroup = 20
	firstPeerGroup     = 100
)

func (s *cluster) endpointAddress(daemon, endpoint int) string {
	return s.ip(firstEndpointGroup+daemon, 10+endpoint) + ":9000"
}

func (s *cluster) peerAddress(daemon, peer int) string {
	return fmt.Sprintf("%s:%d", s.ip(firstPeerGroup+daemon, 10+peer), zpoutside.PeersPort)
}

// linkPeers opens the links from all daemons to one. Each side receives the addresses that it uses.
func (s *cluster) linkPeers(peer int) error {
	var list links
	for d := range s.Daemons {
		l := &Link{Listen: s.peerAddress(d, peer), Target: fmt.Sprintf("%s:%d", s.daemonIP(peer), zpoutside.PeersPort), Rewrite: s.rewrites[peer], RewriteBack: s.rewrites[d]}
		if err := l.Open(); err != nil {
			return err
		}
		list = append(list, l)
	}
	s.toPeer = append(s.toPeer, list)
	return nil
}

// peerLinks returns the links from other daemons to one, and those from it to them, but for those
// between it and a group.
func (s *cluster) peerLinks(daemon int, group []int) (in, out links) {
	for peer := range s.toPeer {
		if peer != daemon && slices.Contains(group, peer) {
			continue
		}
		in = append(in, s.toPeer[daemon][peer])
		if peer != daemon {
			out = append(out, s.toPeer[peer][daemon])
		}
	}
	return in, out
}

// daemonsFrom returns all daemons in order, beginning with one.
func (s *cluster) daemonsFrom(first int) (out []int) {
	for n := range s.Daemons {
		out = append(out, (first+n)%s.Daemons)
	}
	return out
}

// viewOf returns a replacer of the addresses of endpoints and daemons by those that a daemon
// uses. Other daemons' addresses have the same length, so that they can be replaced in messages.
func (s *cluster) viewOf(daemon int) *strings.Replacer {
	var pairs []string
	for e := range s.Endpoints {
		pairs = append(pairs, s.ip(4, 10+e)+":9000", s.endpointAddress(daemon, e))
		for other := range s.Daemons {
			if other != daemon {
				pairs = append(pairs, s.endpointAddress(other, e), s.endpointAddress(daemon, e))
			}
		}
	}
	for peer := range s.Daemons {
		pairs = append(pairs, fmt.Sprintf("%s:%d", s.daemonIP(peer), zpoutside.PeersPort), s.peerAddress(daemon, peer))
		for other := range s.Daemons {
			if other != daemon {
				pairs = append(pairs, s.peerAddress(other, peer), s.peerAddress(daemon, peer))
			}
		}
	}
	return strings.NewReplacer(pairs...)
}

// rewriteAddresses returns a function that replaces addresses in messages between daemons. An
// address that arrives in two parts is not replaced; no daemon knows it then.
func (s *cluster) rewriteAddresses(view *strings.Replacer) func([]byte) []byte {
	prefix := fmt.Appendf(nil, "127.%d.", s.Number)
	return func(data []byte) []byte {
		if !bytes.Contains(data, prefix) {
			return data
		}
		return []byte(view.Replace(string(data)))
	}
}

// ServeHTTP implements http.Handler.
func (v *storeView) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	recorded := httptest.NewRecorder()
	v.store.ServeHTTP(recorded, r)
	maps.Copy(w.Header(), recorded.Header())
	w.WriteHeader(recorded.Code)
	_, _ = fmt.Fprint(w, v.replacer.Replace(recorded.Body.String())) // fails only if the daemon has closed the connection
}

// linksOf returns the links that are cut while daemons are stranded.
func (s *cluster) linksOf(t Stranded) (out links) {
	for e, list := range s.toEndpoint {
		if t.Endpoints != nil && !slices.Contains(t.Endpoints, e) {
			continue
		}
		for _, d := range t.Daemons {
			out = append(out, list[d])
		}
	}
	return out
}

// each calls f for all links at the same time.
func (g links) each(f func(*Link) error) error {
	var wg sync.WaitGroup
	errs := make([]error, len(g))
	for n, l := range g {
		wg.Go(func() { errs[n] = f(l) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

func (g links) setMode(m LinkMode) {
	for _, l := range g {
		l.SetMode(m)
	}
}

func (g links) setClientMode(m LinkMode) {
	for _, l := range g {
		l.setSideMode(clientSide, m)
	}
}

func (g links) setModeFor(ctx context.Context, m LinkMode, d time.Duration) {
	g.setMode(m)
	sleep(ctx, d)
	g.setMode(LinkMode{})
}

// resetFor resets the open connections, and then each new one until d has passed.
func (g links) resetFor(ctx context.Context, d time.Duration) {
	g.setMode(LinkMode{Refuse: true})
	for _, l := range g {
		l.Reset()
	}
	sleep(ctx, d)
	g.setMode(LinkMode{})
}
