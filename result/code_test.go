package result

import (
	"fmt"
	"os"
	"regexp"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestPageListsEveryCode checks that docs/RESULT-CODES.md describes each code as
// the package does, and no others.
func TestPageListsEveryCode(t *testing.T) {
	g := gomega.NewWithT(t)
	page, err := os.ReadFile("../docs/RESULT-CODES.md")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	rows := regexp.MustCompile(`(?m)^\| \d{4} \|`).FindAllString(string(page), -1)
	g.Expect(rows).To(gomega.HaveLen(len(All())))
	for code, info := range All() {
		retry := "no"
		if info.Retryable {
			retry = "yes"
		}
		g.Expect(string(page)).To(gomega.ContainSubstring(fmt.Sprintf("| %d | %s | %d | %s |", int(code), info.Name, info.Status, retry)))
	}
}

func TestErrorCarriesItsCode(t *testing.T) {
	g := gomega.NewWithT(t)
	e := New(Overloaded, RanNo, "queue of %d", 3).WithRetry(1500 * time.Millisecond)
	g.Expect(e.RetrySeconds).To(gomega.Equal(2))
	g.Expect(From(fmt.Errorf("wrapped: %w", e))).To(gomega.BeIdenticalTo(e))
	other := From(fmt.Errorf("something else"))
	g.Expect(other.Code).To(gomega.Equal(Internal))
	g.Expect(other.Ran).To(gomega.Equal(RanUnknown))
}
