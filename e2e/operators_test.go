package e2e_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpsite"
)

// writeCertificates creates a CA and a certificate signed by it, and returns the
// paths of the CA, the certificate and its key.
func writeCertificates() (ca, cert, key string) {
	GinkgoHelper()
	dir, err := os.MkdirTemp("", "zinniapaddle-tls-")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, dir)
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	caDER, err := x509.CreateCertificate(rand.Reader, template, template, &caKey.PublicKey, caKey)
	Expect(err).NotTo(HaveOccurred())
	leafKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "entry"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageDigitalSignature,
	}
	leafDER, err := x509.CreateCertificate(rand.Reader, leaf, template, &leafKey.PublicKey, caKey)
	Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(leafKey)
	Expect(err).NotTo(HaveOccurred())
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
		return path
	}
	return write("ca.pem", "CERTIFICATE", caDER), write("cert.pem", "CERTIFICATE", leafDER), write("key.pem", "EC PRIVATE KEY", keyDER)
}

var _ = Describe("Operators", Ordered, func() {
	var site *zpsite.Site
	var settings string

	BeforeAll(func() {
		ca, cert, key := writeCertificates()
		site = startSite(zpsite.Config{Number: 61, Daemons: 2, Runners: 2, Settings: map[string]string{
			"peers.insecure": "false", "peers.ca_file": ca, "peers.cert_file": cert, "peers.key_file": key,
		}})
		settings = site.SettingsFile(0)
	})

	manifestFile := func(text string) string {
		GinkgoHelper()
		path := filepath.Join(site.Config.Dir, "manifest.yaml")
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return path
	}

	It("see every daemon over mutual TLS", func() {
		code, out := runCommand("status", "--settings", settings, "--output", "json")
		Expect(code).To(Equal(0), out)
		Expect(out).To(And(ContainSubstring("entry-0"), ContainSubstring("entry-1"), ContainSubstring(`"lease_valid": true`)))
		Expect(out).NotTo(ContainSubstring("error"))
	})

	It("are protected from peers without a certificate", func() {
		conn, err := tls.Dial("tcp", "127.61.1.10:8081", &tls.Config{InsecureSkipVerify: true})
		if err == nil {
			Expect(conn.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
			_, err = conn.Read(make([]byte, 1))
		}
		Expect(err).To(MatchError(ContainSubstring("certificate")))
	})

	It("get, change and apply the manifest", func() {
		code, text := runCommand("get", "--settings", settings)
		Expect(code).To(Equal(0), text)
		file := manifestFile(text)
		code, out := runCommand("check", "--settings", settings, "--manifest", file)
		Expect(code).To(Equal(0), out)
		code, out = runCommand("apply", "--settings", settings, file)
		Expect(code).To(Equal(0), out)
		Expect(out).To(ContainSubstring("in force"))
		code, out = runCommand("apply", "--settings", settings, file)
		Expect(code).To(Equal(1))
		Expect(out).To(And(ContainSubstring("older version"), ContainSubstring("remedy")))
	})

	It("take an endpoint out and bring it back", func() {
		code, out := runCommand("take-out", "--settings", settings, "--endpoint", "runner-0")
		Expect(code).To(Equal(0), out)
		code, out = runCommand("bring-back", "--settings", settings, "--endpoint", "runner-0")
		Expect(code).To(Equal(0), out)
	})

	It("find no errors in the examples", func() {
		files, err := filepath.Glob("../examples/*.yaml")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).To(HaveLen(4))
		for _, file := range files {
			flag := "--manifest"
			if strings.HasSuffix(file, "settings.yaml") {
				flag = "--settings"
			}
			code, out := runCommand("check", flag, file)
			Expect(code).To(Equal(0), out)
		}
	})

	DescribeTable("get an exit code and a remedy",
		func(args []string, code int, text string) {
			for i, a := range args {
				if a == "SETTINGS" {
					args[i] = settings
				}
				if a == "BAD" {
					args[i] = manifestFile("version: 1\nnonsense: 2\n")
				}
			}
			got, out := runCommand(args...)
			Expect(got).To(Equal(code), out)
			Expect(out).To(ContainSubstring(text))
		},
		Entry("no target", []string{"take-out", "--settings", "SETTINGS"}, 4, "remedy"),
		Entry("unknown name", []string{"take-out", "--settings", "SETTINGS", "--endpoint", "x"}, 1, "remedy"),
		Entry("bad manifest", []string{"apply", "--settings", "SETTINGS", "BAD"}, 4, "2:1"),
		Entry("check lists errors", []string{"check", "--manifest", "BAD"}, 4, "nonsense"),
		Entry("nothing to check", []string{"check"}, 4, "remedy"),
		Entry("no settings", []string{"status"}, 2, "remedy"),
		Entry("unknown command", []string{"dance"}, 2, "remedy"),
		Entry("missing file", []string{"status", "--settings", "/nonexistent"}, 4, "remedy"),
		Entry("version", []string{"version"}, 0, "zinniapaddle"),
		Entry("workspaces", []string{"workspaces", "--settings", "SETTINGS"}, 0, workspace),
	)
})
