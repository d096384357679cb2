package zppeer

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// TLSConfig returns a configuration for mutual TLS, for both client and server.
// The certificate, key and CA files are reloaded for each handshake, so that keys
// can be rotated without a restart. Peers are verified by their certificate chain
// alone; host names are not checked, because the addresses of VMs change.
func TLSConfig(caFile, certFile, keyFile string) (*tls.Config, error) {
	load := func() (*tls.Certificate, error) {
		cert, err := tls.LoadX509KeyPair(certFile, keyFile)
		if err != nil {
			return nil, fmt.Errorf("load peer certificate: %w", err)
		}
		return &cert, nil
	}
	if _, err := load(); err != nil {
		return nil, err
	}
	if _, err := loadCertPool(caFile); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		ClientAuth:           tls.RequireAnyClientCert,
		InsecureSkipVerify:   true, // VerifyConnection verifies the chain instead
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return load() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return load() },
		VerifyConnection:     func(state tls.ConnectionState) error { return verifyPeer(state, caFile) },
	}, nil
}

func verifyPeer(state tls.ConnectionState, caFile string) error {
	pool, err := loadCertPool(caFile)
	if err != nil {
		return err
	}
	if len(state.PeerCertificates) == 0 {
		return fmt.Errorf("peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}

func loadCertPool(caFile string) (*x509.CertPool, error) {
	text, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("read peer CA: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("peer CA file %s contains no certificate", caFile)
	}
	return pool, nil
}
