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

// startSite starts a site that ends with the spec.
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

// call sends a request to the first daemon.
func call(s *zpsite.Site, method, path, key, body string, header map[string]string) (int, http.Header, string) {
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

// errorOf reads an error answer.
func errorOf(text string) map[string]any {
	GinkgoHelper()
	var body struct {
		Error map[string]any `json:"error"`
	}
	Expect(json.Unmarshal([]byte(text), &body)).To(Succeed(), text)
	return body.Error
}

// command runs the command line and returns its exit code and output.
func command(args ...string) (int, string) {
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
