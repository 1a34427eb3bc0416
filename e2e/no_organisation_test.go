package e2e

import (
	"net/http"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// Guards against an empty list of organisations that is read as none, wherever it comes from, and
// after which requests run without a valid key.
var _ = ginkgo.Describe("A configuration without any organisation", func() {
	ginkgo.It("opens no route, as the first one, after another one, and after all processes were killed", func() {
		withOrganisations := platformConfig(2, 1000, "key-m")
		empty := withOrganisations[:strings.Index(withOrganisations, `"tenants":`)] + `"tenants":[]}`
		d := startPlatform()
		gomega.Eventually(func() int { return d.putConfig(0, strings.Replace(empty, `"version":2`, `"version":1`, 1)) }, startLimit).Should(gomega.Equal(http.StatusOK))
		booking := startReplica("i-b0", "booking", "a", d.keepers)
		expectClosed := func() {
			ginkgo.GinkgoHelper()
			for i := range d.entries {
				gomega.Eventually(func() int { return d.readyStatus(i) }, startLimit).Should(gomega.Equal(http.StatusOK))
				gomega.Eventually(func() int {
					status, _ := d.sendRequest(i, "GET", "/look/any", "", "")
					return status
				}, startLimit).Should(gomega.Equal(http.StatusOK), "a public route")
				for _, key := range []string{"", "key-m", "key-x"} {
					status, body := d.sendRequest(i, "POST", "/book/closed", key, "x")
					gomega.Expect(status).To(gomega.Equal(http.StatusUnauthorized), "entry %d, key %q: %s", i, key, body)
				}
			}
			for _, r := range booking.requests() {
				gomega.Expect(r.URL.Path).NotTo(gomega.Equal("/book/closed"))
			}
		}
		expectClosed()

		ginkgo.By("taking the organisations away while a keeper and an entry are down")
		gomega.Expect(d.putConfig(0, withOrganisations)).To(gomega.Equal(http.StatusOK))
		for i := range d.entries {
			gomega.Eventually(func() int {
				status, _ := d.sendRequest(i, "POST", "/book/open", "key-m", "x")
				return status
			}, startLimit).Should(gomega.Equal(http.StatusOK))
		}
		for _, p := range []*process{d.keepers[2], d.entries[1]} {
			p.Kill().Wait(stopLimit)
		}
		gomega.Eventually(func() int { return d.putConfig(0, strings.Replace(empty, `"version":2`, `"version":3`, 1)) }, startLimit).Should(gomega.Equal(http.StatusOK))
		d.keepers[2], d.entries[1] = d.keepers[2].restart(), d.entries[1].restart()
		gomega.Eventually(func() int {
			status, _ := d.sendRequest(0, "POST", "/book/open", "key-m", "x")
			return status
		}, startLimit).Should(gomega.Equal(http.StatusUnauthorized))
		expectClosed()

		ginkgo.By("killing all processes")
		for _, list := range [][]*process{d.keepers, d.entries} {
			for _, p := range list {
				p.Kill().Wait(stopLimit)
			}
			for i, p := range list {
				list[i] = p.restart()
			}
		}
		expectClosed()
	})
})
