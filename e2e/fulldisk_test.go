package e2e

import (
	"fmt"
	"math"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// limitFiles bounds the size of the files that a process may write, which it gets to know
// by a refused write as of a full disk.
func (p *process) limitFiles(bytes uint64) {
	ginkgo.GinkgoHelper()
	limit := unix.Rlimit{Cur: bytes, Max: math.MaxUint64}
	gomega.Expect(unix.Prlimit(p.Command.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil)).To(gomega.Succeed())
}

// logBytes returns the size of a keeper's log on its disk.
func (p *process) logBytes() uint64 {
	ginkgo.GinkgoHelper()
	info, err := os.Stat(filepath.Join(p.options.dataFolder, "log"))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return uint64(info.Size())
}

var _ = ginkgo.Describe("Keepers whose disks are full one after another", func() {
	for _, room := range []struct {
		name  string
		bytes func(*process) uint64
	}{
		{"none", func(*process) uint64 { return 0 }},
		{"half a change", func(p *process) uint64 { return p.logBytes() + 200 }},
	} {
		ginkgo.It("accept changes while one is full, and after the last has room again; left: "+room.name, func() {
			d := startPlatform()
			version := 1
			put := func() int {
				status := d.putConfig(version%3, platformConfig(version, 100))
				if status == http.StatusOK {
					version++
				}
				return status
			}
			gomega.Eventually(put, startLimit).Should(gomega.Equal(http.StatusOK))
			for i, k := range d.keepers {
				k.limitFiles(room.bytes(k))
				for until := time.Now().Add(3 * time.Second); time.Now().Before(until); {
					gomega.Expect(put()).To(gomega.Equal(http.StatusOK), "while the disk of keeper %d is full", i)
				}
				k.limitFiles(math.MaxUint64)
			}
			before := version
			gomega.Eventually(put, 3*time.Second).Should(gomega.Equal(http.StatusOK))
			gomega.Expect(version).To(gomega.BeNumerically(">", before))
			for _, k := range d.keepers {
				gomega.Expect(k.ExitCode()).To(gomega.Equal(-1), "keeper %s has ended", k.options.name)
				r := sendRequest(http.MethodGet, fmt.Sprintf("http://%s/metrics", k.Peers), "", nil)
				gomega.Expect(string(r.body)).To(gomega.ContainSubstring("keeper_stopped 0\n"), k.options.name)
			}
		})
	}
})
