package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
)

// TestRecordedTunnels guards against an entry that can't use the tunnels of earlier builds.
func TestRecordedTunnels(t *testing.T) {
	for name, want := range map[string]error{"reached": nil, "unknown": errNotAccepted} {
		files, err := filepath.Glob(filepath.Join("../formats/testdata/*/tunnel", name))
		gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
		gomega.NewWithT(t).Expect(files).NotTo(gomega.BeEmpty())
		for _, file := range files {
			g := gomega.NewWithT(t)
			data, err := os.ReadFile(file)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			go func() {
				helper, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(helper))
				_, _ = helper.Write(data)
				_ = helper.Close()
			}()
			c, err := dialTunnel(t.Context(), netip.MustParseAddrPort(listener.Addr().String()), netip.MustParseAddrPort("127.0.0.1:1"))
			_ = listener.Close()
			if want != nil {
				g.Expect(err).To(gomega.MatchError(want), file)
				continue
			}
			g.Expect(err).NotTo(gomega.HaveOccurred(), file)
			answer, err := io.ReadAll(c)
			g.Expect(err).NotTo(gomega.HaveOccurred(), file)
			g.Expect(string(answer)).To(gomega.HavePrefix("HTTP/1.0 "), file)
			_ = c.Close()
		}
	}
}
