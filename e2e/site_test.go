package e2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpsite"
)

const workspace = "shop-a"

// startSite starts a site that is stopped at the end of the spec.
func startSite(c zpsite.Config) *zpsite.Site {
	GinkgoHelper()
	dir, err := os.MkdirTemp("", "zinniapaddle-e2e-")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, dir)
	c.Dir, c.BinDir = dir, binDir
	c.Workspaces = []string{workspace, "shop-b"}
	c.Slots, c.ColdSlots = 8, 2
	site, err := zpsite.New(c)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(site.Stop)
	Expect(site.Start(context.Background())).To(Succeed())
	return site
}

// sendRequest sends a request to the first daemon.
func sendRequest(s *zpsite.Site, method, path, key, body string, header map[string]string) (int, http.Header, string) {
	GinkgoHelper()
	req, err := http.NewRequest(method, s.Target(0)+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	res, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	Expect(err).NotTo(HaveOccurred())
	return res.StatusCode, res.Header, string(text)
}

// decodeError returns the error object of a response body.
func decodeError(text string) map[string]any {
	GinkgoHelper()
	var body struct {
		Error map[string]any `json:"error"`
	}
	Expect(json.Unmarshal([]byte(text), &body)).To(Succeed(), text)
	return body.Error
}

// runCommand runs the zinniapaddle binary and returns its exit code and its
// combined output.
func runCommand(args ...string) (int, string) {
	GinkgoHelper()
	var out bytes.Buffer
	cmd := exec.Command(filepath.Join(binDir, "zinniapaddle"), args...)
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	if _, exited := err.(*exec.ExitError); err != nil && !exited {
		Fail(err.Error())
	}
	return cmd.ProcessState.ExitCode(), out.String()
}
