package zpnet

import (
	"context"
	"net/http"
	"time"
)

// closeCheck is the pause between two looks at a connection. Callers that have
// left must not be worked for longer than half a second.
const closeCheck = 200 * time.Millisecond

// WatchPeers ends the context of a request when its caller closes, also if the
// caller has sent more bytes behind the request. The server itself looks for a
// close only until the first of these.
func WatchPeers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		peer := PeerOf(r.Context())
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		var look func()
		look = func() {
			switch {
			case ctx.Err() != nil:
			case peer.HasClosed():
				cancel()
			default:
				time.AfterFunc(closeCheck, look)
			}
		}
		first := time.AfterFunc(closeCheck, look)
		defer first.Stop()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}
