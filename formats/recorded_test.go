package formats_test

import (
	"encoding/base64"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/control"
	"github.com/hyssopladder/hyssopladder/keeper"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/origin"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/settings"
	"github.com/hyssopladder/hyssopladder/share"
	"github.com/hyssopladder/hyssopladder/suspect"
	"github.com/hyssopladder/hyssopladder/upstream"
	"github.com/hyssopladder/hyssopladder/wal"
)

// The folders under testdata are named for the builds whose processes wrote what is in them;
// docs/design/formats.md says how they are recorded.

// recordedBodies are the types of the recorded messages. Only keepers have the type of
// the reply to a read.
func recordedBodies() map[string]readFunc {
	return map[string]readFunc{
		"exchange.request": of[member.Exchange](),
		"exchange.reply":   of[member.Answer](),
		"step.request":     of[keeper.Batch](),
		"propose.request":  of[keeper.Command](),
		"propose.reply":    of[keeper.Reply](),
		"read.reply":       generic,
		"sync.request":     of[control.SyncRequest](),
		"sync.reply":       of[control.SyncReply](),
		"account.request":  of[control.AccountRequest](),
		"account.reply":    of[control.AccountReply](),
		"reserve.request":  of[control.ReserveRequest](),
		"reserve.reply":    of[control.ReserveReply](),
		"origins.request":  of[origin.Request](),
		"origins.reply":    of[origin.Reply](),
	}
}

// recordedPayloads are the types of the payloads of records in gossip.
func recordedPayloads() map[member.Kind]readFunc {
	return map[member.Kind]readFunc{
		member.Node:       of[member.NodeInfo](),
		member.Upstream:   of[upstream.Announcement](),
		member.Document:   of[service.Accepted](),
		member.Demand:     of[share.Report](),
		member.Quarantine: of[suspect.Evidence](),
	}
}

// eachBuild runs f with the folder of each recorded build.
func eachBuild(t *testing.T, f func(g *gomega.WithT, folder string)) {
	t.Helper()
	builds, err := filepath.Glob("testdata/*")
	if err != nil || len(builds) < 2 {
		t.Fatalf("builds %v: %v", builds, err)
	}
	for _, folder := range builds {
		t.Run(filepath.Base(folder), func(t *testing.T) { f(gomega.NewWithT(t), folder) })
	}
}

// expectSame reads an encoding and writes it again.
func expectSame(g *gomega.WithT, read readFunc, data []byte, about string) any {
	v, err := read(data)
	g.Expect(err).NotTo(gomega.HaveOccurred(), about)
	g.Expect(wire.MustEncode(v)).To(gomega.Equal(data), about)
	return v
}

// TestRecordedMessages guards against a change by which messages of earlier builds are read
// as something else, or lose a part.
func TestRecordedMessages(t *testing.T) {
	eachBuild(t, func(g *gomega.WithT, folder string) {
		text, err := os.ReadFile(filepath.Join(folder, "messages"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		seen, kinds, steps := map[string]bool{}, map[member.Kind]bool{}, map[consensus.MessageKind]bool{}
		for line := range strings.Lines(string(text)) {
			name, encoded, _ := strings.Cut(strings.TrimSpace(line), " ")
			data, err := base64.StdEncoding.DecodeString(encoded)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(recordedBodies()).To(gomega.HaveKey(name))
			seen[name] = true
			var records []member.Record
			switch v := expectSame(g, recordedBodies()[name], data, line).(type) {
			case member.Exchange:
				records = v.Push
			case member.Answer:
				records = v.Push
			case keeper.Batch:
				for _, m := range v.Messages {
					steps[m.Kind] = true
				}
			}
			for _, r := range records {
				if len(r.Payload) > 0 {
					kinds[r.Kind] = true
					expectSame(g, recordedPayloads()[r.Kind], r.Payload, string(r.Kind))
				}
			}
		}
		for name := range recordedBodies() {
			g.Expect(seen).To(gomega.HaveKey(name))
		}
		for _, kind := range []member.Kind{member.Node, member.Upstream, member.Document, member.Demand} {
			g.Expect(kinds).To(gomega.HaveKey(kind))
		}
		for kind := consensus.PreVote; kind <= consensus.TimeoutNow; kind++ {
			g.Expect(steps).To(gomega.HaveKey(kind))
		}
	})
}

// TestRecordedSpools guards against origins of streams that are lost with an update.
func TestRecordedSpools(t *testing.T) {
	eachBuild(t, func(g *gomega.WithT, folder string) {
		copied := t.TempDir()
		g.Expect(os.CopyFS(copied, os.DirFS(filepath.Join(folder, "keeper")))).To(gomega.Succeed())
		fs, err := wal.OpenFolder(copied)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = fs.Close() }()
		_, records, err := wal.OpenSpool(fs, "origins")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(records).NotTo(gomega.BeEmpty())
		for _, r := range records {
			begun := expectSame(g, of[origin.Request](), r, "record").(origin.Request)
			g.Expect(begun.Begun).NotTo(gomega.BeEmpty())
		}
	})
}

// TestRecordedTexts guards against settings and announcements that were sound for an earlier
// build and no longer are.
func TestRecordedTexts(t *testing.T) {
	eachBuild(t, func(g *gomega.WithT, folder string) {
		names, err := filepath.Glob(filepath.Join(folder, "settings", "*.ini"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var roles []string
		for _, name := range names {
			s, err := settings.Load(name)
			g.Expect(err).NotTo(gomega.HaveOccurred(), name)
			g.Expect(s.Node.Name + ".ini").To(gomega.Equal(filepath.Base(name)))
			roles = append(roles, s.Node.Roles...)
		}
		slices.Sort(roles)
		g.Expect(slices.Compact(roles)).To(gomega.Equal([]string{settings.RoleControl, settings.RoleEntry, settings.RoleIngress, settings.RoleKeeper}))

		data, err := os.ReadFile(filepath.Join(folder, "announcement.json"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var a upstream.Announcement
		g.Expect(json.Unmarshal(data, &a)).To(gomega.Succeed())
		g.Expect(a.Check()).To(gomega.Succeed())
		g.Expect(json.Marshal(&a)).To(gomega.MatchJSON(data))
	})
}
