package formats_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"flag"
	"hash/crc32"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/capacity"
	"github.com/hyssopladder/hyssopladder/claim"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/control"
	"github.com/hyssopladder/hyssopladder/document"
	"github.com/hyssopladder/hyssopladder/examples"
	"github.com/hyssopladder/hyssopladder/formats"
	"github.com/hyssopladder/hyssopladder/keeper"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/origin"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/platform"
	"github.com/hyssopladder/hyssopladder/rollout"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/settings"
	"github.com/hyssopladder/hyssopladder/share"
	"github.com/hyssopladder/hyssopladder/suspect"
	"github.com/hyssopladder/hyssopladder/upstream"
	"github.com/hyssopladder/hyssopladder/usage"
	"github.com/hyssopladder/hyssopladder/wal"
)

var update = flag.Bool("update", false, "write the table into the page")

// page is the design note that has the table.
const page = "../docs/design/formats.md"

// TestPageHasTheList guards against a page that says other than the code.
func TestPageHasTheList(t *testing.T) {
	g := gomega.NewWithT(t)
	text, err := os.ReadFile(page)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	begin, rest, found := strings.Cut(string(text), "| format |")
	g.Expect(found).To(gomega.BeTrue())
	_, end, found := strings.Cut(rest, "\n\n")
	g.Expect(found).To(gomega.BeTrue())
	want := begin + formats.Table() + "\n" + end
	if *update {
		g.Expect(os.WriteFile(page, []byte(want), 0o600)).To(gomega.Succeed())
		return
	}
	g.Expect(string(text)).To(gomega.Equal(want), "run go test ./formats -update")
}

// readFunc returns what a node uses of an encoding.
type readFunc func(data []byte) (any, error)

func of[T any, P interface {
	*T
	wire.Checker
}]() readFunc {
	return func(data []byte) (any, error) {
		v := new(T)
		err := wire.Decode(data, P(v))
		return *v, err
	}
}

// readAnnouncement reads an upstream's record as entries and keepers do.
func readAnnouncement(data []byte) (any, error) {
	return upstream.FromRecord(member.Record{Payload: data, Remaining: time.Second})
}

// readFile opens a data folder with one file changed.
func readFile(name string) readFunc {
	return func(data []byte) (any, error) {
		folder, err := os.MkdirTemp("", "formats")
		if err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(folder) }()
		files := map[string][]byte{
			"identity": wire.MustEncode(&wal.Identity{ID: 1, Cluster: 2}),
			"log":      wire.MustEncode(map[string]any{"s": consensus.HardState{Term: 1}}),
		}
		files[name] = data
		for file, payload := range files {
			if err := os.WriteFile(filepath.Join(folder, file), frame(payload), 0o600); err != nil {
				return nil, err
			}
		}
		fs, err := wal.OpenFolder(folder)
		if err != nil {
			return nil, err
		}
		journal, stored, err := wal.Open(fs, func() consensus.ID { return 9 })
		if err != nil {
			return nil, err
		}
		defer func() { _ = journal.Close() }()
		return []any{journal.Identity(), stored}, nil
	}
}

// frame is a frame of a file with the payload.
func frame(payload []byte) []byte {
	b := binary.LittleEndian.AppendUint32([]byte{0xf5, 'h', 'l', 'j'}, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(payload, crc32.MakeTable(crc32.Castagnoli)))
	return append(b, payload...)
}

func readJSON(read func([]byte) (any, error)) readFunc {
	return func(data []byte) (any, error) {
		body, err := jsonOf(data)
		if err != nil {
			return nil, err
		}
		return read(body)
	}
}

func readHeartbeat(body []byte) (any, error) {
	return platform.DecodeHeartbeat("i-1", body, time.Second)
}

func readOrder(body []byte) (any, error) { return platform.DecodeRolloutOrder(body) }

func readConfig(body []byte) (any, error) { return platform.DecodeConfig(body) }

// alteration puts a value that no reader knows at the path of an encoding.
type alteration struct {
	path  []any
	value any
}

func at(value any, path ...any) *alteration { return &alteration{path, value} }

// formatCase is a sample of a format.
type formatCase struct {
	format string
	sample any
	read   readFunc
	// unknown is nil for a body without enumerations.
	unknown *alteration
	// refused says that the body is refused for it, unlike most values of the format.
	refused bool
}

var (
	address  = netip.MustParseAddrPort("127.0.0.1:7000")
	sample   = upstream.Announcement{ID: "i-1", Address: address, Zone: "a", Kind: service.Plain, Services: []string{"s"}, Lease: time.Second, Slots: 1}
	key      = claim.Key{Caller: "c", Service: "s", Key: "k"}
	booking  = must(service.ParseINI(examples.Booking))
	evidence = suspect.Evidence{Trait: suspect.Trait{Kind: suspect.Part, Service: 1, Hash: 2}, Crashes: []suspect.Crash{{Upstream: 3}}}
	put      = config.Put{Number: 1, Digest: config.DigestOf([]byte("x")), Packed: []byte("x")}
	entries  = []consensus.Entry{{Index: 4, Term: 2, Kind: consensus.Noop}}
	begun    = origin.Request{Begun: []origin.Group{{Origin: origin.Origin{Service: "s", Release: "v1"}, Streams: []origin.Stream{7}}}, Find: []origin.Stream{8}}
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// ofMachine stands for the body of a snapshot's state, whose type only keepers have.
type ofMachine struct {
	Documents []byte `json:"d"`
	Claims    []byte `json:"c"`
}

func formatCases() []formatCase {
	return []formatCase{
		{"exchange", member.Exchange{From: "a", Push: []member.Record{{Key: member.Key{Kind: member.Node, ID: "a"}, Payload: []byte("x")}}, Intervals: []member.Interval{{Number: 1}}}, of[member.Exchange](), at("plan", "p", 0, "k"), false},
		{"exchange", member.Answer{Push: []member.Record{{Key: member.Key{Kind: member.Node, ID: "a"}}}, Digest: []member.DigestEntry{{Key: member.Key{Kind: member.Node, ID: "a"}}}}, of[member.Answer](), at("plan", "p", 0, "k"), false},
		{"step", keeper.Batch{Cluster: 1, Messages: []consensus.Message{{Kind: consensus.Append, From: 1, To: 2, Index: 3, Entries: entries}}}, of[keeper.Batch](), at(99, "m", 0, "k"), false},
		{"step", keeper.Batch{Cluster: 1, Messages: []consensus.Message{{Kind: consensus.Append, From: 1, To: 2, Index: 3, Entries: entries}}}, of[keeper.Batch](), at(99, "m", 0, "e", 0, "k"), false},
		{"propose", keeper.Command{Change: &document.Change{ID: "c", Any: true, Document: *booking}}, of[keeper.Command](), at("gpu", "d", "document", "kind"), false},
		{"propose", keeper.Command{Claim: &claim.Command{Claim: &claim.Claim{Key: key, CallHash: 1, Owner: "o"}}}, of[keeper.Command](), nil, false},
		{"propose", keeper.Command{Claim: &claim.Command{Settle: &claim.Settle{Key: key, Owner: "o", Outcome: claim.Unknown}}}, of[keeper.Command](), at(99, "c", "s", "r"), false},
		{"propose", keeper.Command{Claim: &claim.Command{Advance: &claim.Advance{By: time.Second}}}, of[keeper.Command](), nil, false},
		{"propose", keeper.Command{Put: &put}, of[keeper.Command](), nil, false},
		{"propose", keeper.Command{Usage: &usage.Window{Number: 1}}, of[keeper.Command](), nil, false},
		{"propose", keeper.Reply{Claim: &claim.Reply{Granted: true, State: claim.Claimed}, Put: config.Stored}, of[keeper.Reply](), nil, false},
		{"propose", keeper.Command{Later: &keeper.LaterCommand{Level: 1, Data: []byte("x")}}, of[keeper.Command](), nil, false},
		{"sync", control.SyncReply{Rollouts: &rollout.View{Version: 1, Rollouts: []rollout.Rollout{{Number: 1, Order: rollout.Order{Service: "s", To: "v2"}}}}, Leader: address}, of[control.SyncReply](), at(99, "o", "r", 0, "p"), false},
		{"sync", control.SyncRequest{Entry: "a", Probe: true}, of[control.SyncRequest](), nil, false},
		{"sync", control.SyncReply{Members: []upstream.Member{{Announcement: sample}}, Config: &put, Quorum: control.QuorumMissed, Leader: address, Peers: []control.Peer{{Address: address, Zone: "a"}}}, of[control.SyncReply](), at(99, "q"), false},
		{"sync", control.SyncReply{Members: []upstream.Member{{Announcement: sample}}, Leader: address}, of[control.SyncReply](), at("gpu", "m", 0, "kind"), true},
		{"account", control.AccountRequest{Entry: "a", Suspects: []suspect.Evidence{evidence}, Helper: &address, Capacity: &capacity.Report{Number: 1}}, of[control.AccountRequest](), at(99, "q", 0, "k"), false},
		{"account", control.AccountReply{Leading: true, Leader: address, Suspects: []suspect.Evidence{evidence}, Paces: &capacity.Update{Term: 1, Paces: []capacity.Pace{{Upstream: "u", Percent: 160}}}}, of[control.AccountReply](), at(99, "q", 0, "k"), false},
		{"reserve", control.ReserveRequest{Organisation: "o", Cost: 1}, of[control.ReserveRequest](), nil, false},
		{"reserve", control.ReserveReply{OK: true, Remaining: 1}, of[control.ReserveReply](), nil, false},
		{"origins", begun, of[origin.Request](), nil, false},
		{"origins", origin.Reply{Found: begun.Begun, Keepers: []netip.AddrPort{address}}, of[origin.Reply](), nil, false},
		{"node", member.NodeInfo{Name: "a", Address: address, Roles: []string{"keeper"}}, of[member.NodeInfo](), at("planner", "roles", 0), false},
		{"upstream", sample, readAnnouncement, at("gpu", "kind"), false},
		{"document", service.Accepted{Revision: 1, Document: *booking}, of[service.Accepted](), at("gpu", "document", "kind"), false},
		{"quarantine", evidence, of[suspect.Evidence](), at(99, "k"), false},
		{"demand", share.Report{Entry: "a", Service: "s", Demands: []share.Demand{{Rate: 1}}}, of[share.Report](), nil, false},
		{"announcement", map[string]any{"service": "s", "addr": address.String(), "zone": "a", "slots": 1, "seq": 1, "state": "ready"}, readJSON(readHeartbeat), at("warming", "state"), false},
		{"configuration", map[string]any{"version": 1, "services": []any{map[string]any{"name": "s"}}, "routes": []any{map[string]any{"name": "r", "host": "h", "pathPrefix": "/", "kind": "idempotent", "timeoutMs": 100, "attempts": 1, "service": "s"}}, "limits": map[string]any{"maxHeaderBytes": 9000, "maxBodyBytes": 9000, "headerTimeoutMs": 1, "idleTimeoutMs": 1}}, readJSON(readConfig), at("duplex", "routes", 0, "kind"), false},
		{"rollouts", rollout.Command{End: &rollout.End{Service: "s", Number: 1, Phase: rollout.Reverted}}, of[rollout.Command](), at(99, "e", "p"), false},
		{"rollouts", rollout.Command{Start: &rollout.Order{Service: "s", To: "v2", Within: time.Second}}, of[rollout.Command](), nil, false},
		{"order", map[string]any{"service": "s", "to": "v2", "durationS": 1.5}, readJSON(readOrder), nil, false},
		{"identity", wal.Identity{ID: 1, Cluster: 2}, readFile("identity"), nil, false},
		{"snapshot", consensus.Snapshot{Index: 1, Term: 1, Config: consensus.Config{Voters: []consensus.ID{1}}, Data: wire.MustEncode(&ofMachine{})}, readFile("snapshot"), nil, false},
		{"log", map[string]any{"s": consensus.HardState{Term: 1}, "e": []consensus.Entry{{Index: 1, Term: 1}}}, readFile("log"), nil, false},
		{"spool", begun, of[origin.Request](), nil, false},
		{"spool", sample.Record(), of[member.Record](), nil, false},
	}
}

// TestUnknownFieldsAreIgnored guards against readers that refuse what a newer version adds,
// at any depth of an encoding.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	covered := map[string]bool{"read": true, "tunnel": true, "settings": true, "statement": true}
	for _, c := range formatCases() {
		g := gomega.NewWithT(t)
		g.Expect(formatOf(t, c.format).Field).To(gomega.Equal(formats.Ignored), c.format)
		want, err := c.read(wire.MustEncode(c.sample))
		g.Expect(err).NotTo(gomega.HaveOccurred(), c.format)
		got, err := c.read(wire.MustEncode(withFields(decode(t, c.sample))))
		g.Expect(err).NotTo(gomega.HaveOccurred(), c.format)
		g.Expect(got).To(gomega.Equal(want), c.format)
		covered[c.format] = true
	}
	for _, f := range formats.List() {
		gomega.NewWithT(t).Expect(covered).To(gomega.HaveKey(f.Name))
	}
}

// TestUnknownValues guards against a page that promises another reaction than readers have.
func TestUnknownValues(t *testing.T) {
	for _, c := range formatCases() {
		if c.unknown == nil {
			continue
		}
		g := gomega.NewWithT(t)
		altered := decode(t, c.sample)
		set(altered, c.unknown.path, c.unknown.value)
		_, err := c.read(wire.MustEncode(altered))
		if c.refused || formatOf(t, c.format).Value == formats.Refused {
			g.Expect(err).To(gomega.HaveOccurred(), "%s %v", c.format, c.unknown.path)
		} else {
			g.Expect(err).NotTo(gomega.HaveOccurred(), "%s %v", c.format, c.unknown.path)
		}
	}
}

// TestUnknownCommandsAreRefused guards against a command that an older keeper applies as if
// it were another one, or none.
func TestUnknownCommandsAreRefused(t *testing.T) {
	for _, command := range []any{
		map[string]any{"z": map[string]any{"n": 1}},
		map[string]any{"c": map[string]any{"z": map[string]any{"n": 1}}},
	} {
		g := gomega.NewWithT(t)
		_, err := of[keeper.Command]()(wire.MustEncode(command))
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("exactly one")))
	}
}

// TestSettingsAndStatementsRefuseWhatTheyDoNotKnow guards against a page that promises more
// of the two formats that people write.
func TestSettingsAndStatementsRefuseWhatTheyDoNotKnow(t *testing.T) {
	const sound = "[node]\nname = a\nzone = a\nroles = ingress\n[ingress]\nlisten = 127.0.0.1:0\nready = 127.0.0.1:0\n"
	g := gomega.NewWithT(t)
	g.Expect(must(settings.Parse([]byte(sound))).Node.Name).To(gomega.Equal("a"))
	for _, odd := range []string{sound + "later = 1\n", sound + "[later]\n", strings.Replace(sound, "= ingress", "= planner", 1)} {
		_, err := settings.Parse([]byte(odd))
		g.Expect(err).To(gomega.HaveOccurred(), odd)
	}
	for _, odd := range []string{"[later]\nx = 1\n", "later = 1\n"} {
		_, err := service.ParseINI(append([]byte(odd), examples.Booking...))
		g.Expect(err).To(gomega.HaveOccurred(), odd)
	}
}

// TestUnknownMethodsAndBodiesAreErrors guards against callers that take the answer of a node
// which doesn't know a method, doesn't serve it, or refuses its body, for a reply.
func TestUnknownMethodsAndBodiesAreErrors(t *testing.T) {
	g := gomega.NewWithT(t)
	server, err := peer.New(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	server.On(peer.Exchange, func(_ context.Context, body []byte) (any, error) { return of[member.Exchange]()(body) })
	server.Started()
	newer := &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) {
		r.SetURL(&url.URL{Scheme: "http", Host: server.Address.String()})
		r.Out.URL.Path += "Later"
	}}
	proxy := httptest.NewServer(newer)
	defer proxy.Close()
	refused := map[string]any{"f": "a", "p": []any{map[string]any{"k": "plan", "i": "a", "n": 1, "s": 1}}}
	for _, c := range []struct {
		address netip.AddrPort
		method  peer.Method
		want    string
	}{
		{netip.MustParseAddrPort(proxy.Listener.Addr().String()), peer.Origins, "bad_route"},
		{server.Address, peer.Origins, "unimplemented"},
		{server.Address, peer.Exchange, "unknown record kind"},
	} {
		var reply member.Answer
		err := server.Client.Call(t.Context(), c.address, c.method, refused, &reply)
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(c.want)))
		g.Expect(reply).To(gomega.BeZero())
	}
	response, err := http.Post("http://"+server.Address.String()+"/tunnel", "", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	g.Expect(response.StatusCode).To(gomega.Equal(http.StatusNotFound))
}

// TestPassedOnRecordsKeepTheirPayload guards against a node of an older version that takes
// new fields away from others as it passes a record on.
func TestPassedOnRecordsKeepTheirPayload(t *testing.T) {
	g := gomega.NewWithT(t)
	payload := wire.MustEncode(withFields(decode(t, sample)))
	record := sample.Record()
	record.Payload = payload
	exchange := decode(t, member.Exchange{From: "a", Push: []member.Record{record}})
	received := must(of[member.Exchange]()(wire.MustEncode(withFields(exchange)))).(member.Exchange)
	table := member.New()
	g.Expect(table.Merge(1, received.Push)).To(gomega.HaveLen(1))
	passed := table.NextPush(1, 1<<20, false)
	g.Expect(bytes.Equal(passed[0].Payload, payload)).To(gomega.BeTrue())
	g.Expect(decode(t, passed[0])).NotTo(gomega.HaveKey(laterField))
}

// TestMetrics guards against an upgrade that a monitor can't follow.
func TestMetrics(t *testing.T) {
	g := gomega.NewWithT(t)
	var b strings.Builder
	formats.WriteMetrics(&b)
	g.Expect(b.String()).To(gomega.HavePrefix("hyssopladder_node_version{version=\"" + formats.Version() + "\"} 1\nhyssopladder_node_format{name=\"exchange\"} 1\n"))
}

func formatOf(t *testing.T, name string) formats.Format {
	t.Helper()
	for _, f := range formats.List() {
		if f.Name == name {
			return f
		}
	}
	t.Fatalf("format %q isn't listed", name)
	return formats.Format{}
}

// laterField is the name of a field that no reader knows.
const laterField = "later"

// decode returns the encoding of a value as maps and lists.
func decode(t *testing.T, v any) any {
	t.Helper()
	return must(generic(wire.MustEncode(v)))
}

func generic(data []byte) (any, error) {
	var v any
	err := must(cbor.DecOptions{DefaultMapType: reflect.TypeFor[map[string]any]()}.DecMode()).Unmarshal(data, &v)
	return v, err
}

// withFields adds the unknown field to all maps.
func withFields(v any) any {
	switch v := v.(type) {
	case map[string]any:
		for _, inner := range v {
			withFields(inner)
		}
		v[laterField] = 1
	case []any:
		for _, inner := range v {
			withFields(inner)
		}
	}
	return v
}

// set replaces the value at a path.
func set(v any, path []any, value any) {
	for i, step := range path {
		last := i == len(path)-1
		switch v2 := v.(type) {
		case map[string]any:
			if last {
				v2[step.(string)] = value
			}
			v = v2[step.(string)]
		case []any:
			if last {
				v2[step.(int)] = value
			}
			v = v2[step.(int)]
		}
	}
}

// jsonOf returns an encoding as JSON.
func jsonOf(data []byte) ([]byte, error) {
	v, err := generic(data)
	if err != nil {
		return nil, err
	}
	return json.Marshal(v)
}
