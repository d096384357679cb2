package zpnet

import (
	"context"
	"net/http"
	"time"
)

// closePollInterval is the pause between two checks of a connection. Work for a
// disconnected caller must stop within half a second.
const closePollInterval = 200 * time.Millisecond

// CancelOnClose cancels the context of a request when its caller closes the
// connection, also if the caller has sent more bytes after the request:
// net/http stops detecting a close once such bytes arrive.
func CancelOnClose(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		peer := PeerOf(r.Context())
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		var poll func()
		poll = func() {
			switch {
			case ctx.Err() != nil:
			case peer.HasClosed():
				cancel()
			default:
				time.AfterFunc(closePollInterval, poll)
			}
		}
		timer := time.AfterFunc(closePollInterval, poll)
		defer timer.Stop()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}
