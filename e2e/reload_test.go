package e2e

import (
	"os"
	"syscall"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
)

var _ = ginkgo.Describe("Settings that change", func() {
	ginkgo.It("are reloaded by a running node at SIGHUP, and without a signal", func() {
		first := startNode(nodeOptions{name: "entry-a0", zone: "a", roles: "entry"})
		second := startNode(nodeOptions{name: "entry-a1", zone: "a", roles: "entry"})
		o := second.options
		o.seeds = append(o.seeds, first.Peers)
		path := second.Command.Args[len(second.Command.Args)-1]
		gomega.Expect(os.WriteFile(path, []byte(o.settings()), 0o600)).To(gomega.Succeed())
		second.Signal(syscall.SIGHUP)
		gomega.Eventually(second.Out, startLimit).Should(gbytes.Say("settings reloaded"))
		gomega.Expect(second.ExitCode()).To(gomega.Equal(-1))

		o.seeds = nil
		gomega.Expect(os.WriteFile(path, []byte(o.settings()), 0o600)).To(gomega.Succeed())
		gomega.Eventually(second.Out, startLimit).Should(gbytes.Say("settings reloaded"))
	})
})
