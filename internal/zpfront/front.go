// Package zpfront is the HTTP server for callers, built on iris: an OpenAI-compatible
// API for prompts and a pass-through for plain services.
package zpfront

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"
	"go.opentelemetry.io/otel/trace"

	"github.com/zinniapaddle/zinniapaddle/internal/zpconfig"
	"github.com/zinniapaddle/zinniapaddle/internal/zpfleet"
	"github.com/zinniapaddle/zinniapaddle/internal/zpnet"
	"github.com/zinniapaddle/zinniapaddle/internal/zppipeline"
	"github.com/zinniapaddle/zinniapaddle/internal/zpsettings"
)

type (
	// Server serves callers. Set the exported fields before Build.
	Server struct {
		Settings       zpsettings.Callers
		Pipeline       *zppipeline.Pipeline
		Fleet          *zpfleet.Fleet
		Tracer         trace.Tracer
		Clock          func() time.Time
		IsShuttingDown func() bool // true once a graceful shutdown has begun
		Guard          *zpnet.Guard

		server *http.Server
	}
)

// Listen opens the listener for callers, with TLS if a certificate is set.
func (f *Server) Listen() (net.Listener, error) {
	lis, err := (&net.ListenConfig{Control: zpnet.LimitReceiveBuffer}).Listen(context.Background(), "tcp", f.Settings.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	lis = f.Guard.Listener(lis)
	if f.Settings.TLSCertFile == "" {
		return lis, nil
	}
	cert, err := tls.LoadX509KeyPair(f.Settings.TLSCertFile, f.Settings.TLSKeyFile)
	if err != nil {
		return nil, fmt.Errorf("load callers' certificate: %w", err)
	}
	return tls.NewListener(lis, &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{cert}}), nil
}

// Build sets up the routes and the HTTP server.
func (f *Server) Build() error {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Post("/v1/chat/completions", f.chat)
	app.Post("/v1/completions", f.completion)
	app.Get("/v1/models", f.models)
	app.Any("/v1/services/{service:string}", f.service)
	app.Any("/v1/services/{service:string}/{rest:path}", f.service)
	app.Get("/healthz", f.healthz)
	app.Get("/readyz", f.readyz)
	app.Any("/{any:path}", f.notFound)
	app.Any("/", f.notFound)
	// Service responses pass unchanged, including errors without a body.
	app.Configure(iris.WithoutAutoFireStatusCode)
	if err := app.Build(); err != nil {
		return fmt.Errorf("build HTTP routes: %w", err)
	}
	f.server = &http.Server{
		Handler:           zpnet.CancelOnClose(app),
		ReadHeaderTimeout: f.Settings.HeaderTimeout,
		MaxHeaderBytes:    int(f.Settings.MaxHeader),
		ConnContext:       f.Guard.ConnContext,
		ConnState:         f.Guard.ConnState,
	}
	return nil
}

// Serve serves callers on lis until Shutdown or Close.
func (f *Server) Serve(lis net.Listener) error {
	if err := f.server.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// Shutdown stops accepting connections and waits for open requests until ctx ends.
func (f *Server) Shutdown(ctx context.Context) error { return f.server.Shutdown(ctx) }

// Close closes all connections immediately.
func (f *Server) Close() error { return f.server.Close() }

func (f *Server) healthz(c iris.Context) { c.StatusCode(http.StatusOK) }

// readyz tells the load balancer whether to send new requests to this daemon.
func (f *Server) readyz(c iris.Context) {
	mode := f.Fleet.Mode(f.Clock())
	switch {
	case f.IsShuttingDown():
		writeText(c, http.StatusServiceUnavailable, "leaving")
	case !f.Fleet.AcceptsWork(f.Clock()):
		writeText(c, http.StatusServiceUnavailable, string(mode))
	default:
		writeText(c, http.StatusOK, readinessText(mode))
	}
}

func readinessText(m zpconfig.Mode) string {
	if m == zpconfig.ModeFresh {
		return "ready"
	}
	return string(m)
}

func writeText(c iris.Context, status int, text string) {
	c.StatusCode(status)
	// If the write fails, the load balancer sees a broken connection.
	_, _ = c.WriteString(text + "\n")
}
