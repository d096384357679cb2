package zppeer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/zinniapaddle/zinniapaddle/internal/zpnet"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer/zppeerpb"
)

// Version is the version of the messages between daemons. It rises when the answer of an
// earlier build lacks what others need to know.
const Version = 1

// Listen opens the listener for calls of other daemons, without TLS if config is
// nil.
func Listen(address string, config *tls.Config) (net.Listener, error) {
	lis, err := zpnet.NewSilenceListenConfig(silenceTimeout).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	if config != nil {
		lis = tls.NewListener(lis, config)
	}
	return lis, nil
}

// Serve serves the peer service on lis until ctx is canceled.
func Serve(ctx context.Context, lis net.Listener, impl zppeerpb.DRPCPeerServer) error {
	mux := drpcmux.New()
	if err := zppeerpb.DRPCRegisterPeer(mux, impl); err != nil {
		return fmt.Errorf("register peer service: %w", err)
	}
	return drpcserver.New(mux).Serve(ctx, lis)
}
