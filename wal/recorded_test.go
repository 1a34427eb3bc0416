package wal

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/wire"
)

// TestRecordedFiles guards against files of earlier builds that are read as something else,
// or lose a part.
func TestRecordedFiles(t *testing.T) {
	folders, err := filepath.Glob("../formats/testdata/*/keeper")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	gomega.NewWithT(t).Expect(len(folders)).To(gomega.BeNumerically(">=", 2))
	for _, folder := range folders {
		for name, newPayload := range map[string]func() wire.Checker{
			identityFile: func() wire.Checker { return &Identity{} },
			logFile:      func() wire.Checker { return &batch{} },
			snapshotFile: func() wire.Checker { return &snapshot{} },
		} {
			t.Run(filepath.Join(folder, name), func(t *testing.T) {
				g := gomega.NewWithT(t)
				data, err := os.ReadFile(filepath.Join(folder, name))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				var written []byte
				for rest := data; len(rest) > 0; {
					payload, length, ok := readFrame(rest)
					g.Expect(ok).To(gomega.BeTrue(), "at byte %d", len(data)-len(rest))
					v := newPayload()
					g.Expect(wire.Decode(payload, v)).To(gomega.Succeed())
					written = appendFrame(written, wire.MustEncode(v))
					rest = rest[length:]
				}
				g.Expect(written).To(gomega.Equal(data))
			})
		}
	}
}
