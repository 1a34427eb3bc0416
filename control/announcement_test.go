package control

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/platform"
	"github.com/hyssopladder/hyssopladder/upstream"
)

func init() { _ = flag.Set("rapid.seed", "20261205") }

const soundHeartbeat = `{"service":"speech","addr":"10.0.0.9:80","zone":"a","version":"v1","slots":8,"state":"ready","seq":4,"born":1700000000000}`

// readByAll returns the error of the first reader that can't read the announcement beside
// a sound one: another keeper by gossip, or an entry.
func readByAll(a upstream.Announcement) error {
	sound, err := platform.DecodeHeartbeat("i-2", []byte(soundHeartbeat), time.Second)
	if err != nil {
		return err
	}
	exchange, err := wire.Encode(&member.Exchange{From: "k", Push: []member.Record{a.Record(), sound.Record()}})
	if err != nil {
		return err
	}
	var pushed member.Exchange
	if err := wire.Decode(exchange, &pushed); err != nil {
		return err
	}
	for _, record := range pushed.Push {
		if _, err := upstream.FromRecord(record); err != nil {
			return err
		}
	}
	sync, err := wire.Encode(&SyncReply{Source: 1, Members: []upstream.Member{{Announcement: a}, {Announcement: sound}}})
	if err != nil {
		return err
	}
	var reply SyncReply
	return wire.Decode(sync, &reply)
}

// TestOddAnnouncementsHarmNoReader guards against one announcement of another writer that
// keeps keepers or entries from following all others.
func TestOddAnnouncementsHarmNoReader(t *testing.T) {
	replace := func(old, with string) string { return strings.Replace(soundHeartbeat, old, with, 1) }
	type odd struct{ id, body string }
	cases := map[string]odd{
		"an ID that isn't UTF-8":          {"i-\xff", soundHeartbeat},
		"an ID with a control character":  {"i-\n", soundHeartbeat},
		"a service of 60 KB":              {"i-1", replace("speech", strings.Repeat("s", 60_000))},
		"a service of bytes beyond UTF-8": {"i-1", replace("speech", strings.Repeat("\xff", 40_000))},
		"a deeply nested field":           {"i-1", replace(`"slots":8`, `"slots":8,"x":`+strings.Repeat("[", 30_000)+strings.Repeat("]", 30_000))},
		"deeply nested objects":           {"i-1", strings.Repeat(`{"service":`, 6_000) + "1" + strings.Repeat("}", 6_000)},
	}
	for _, field := range []string{`"slots":8`, `"seq":4`, `"born":1700000000000`} {
		name, _, _ := strings.Cut(field, ":")
		for _, number := range []string{"1e400", "1e300", "18446744073709551615", "18446744073709551616", "9223372036854775808", "-1", "-1e400", "1.5", "NaN"} {
			cases[name+" of "+number] = odd{"i-1", replace(field, name+":"+number)}
		}
	}
	for _, name := range []string{"coldLeftMs", "leaves_ms"} {
		for _, number := range []string{"1e400", "1e300", "1e19", "-1e300"} {
			cases[name+" of "+number] = odd{"i-1", replace(`"slots":8`, fmt.Sprintf(`"slots":8,%q:%s`, name, number))}
		}
	}
	for _, address := range []string{"10.0.0.9:65536", "10.0.0.9:99999999999999999999", "10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9", "10.0.0.999:80", "0.0.0.0:80", "224.0.0.1:80", "[fe80::1%x]:80", ":80", "10.0.0.9:80:80"} {
		cases["the address "+address] = odd{"i-1", replace("10.0.0.9:80", address)}
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			a, err := platform.DecodeHeartbeat(c.id, []byte(c.body), time.Second)
			if err == nil {
				g.Expect(readByAll(a)).To(gomega.Succeed())
			}
			g.Expect(err).To(gomega.HaveOccurred(), "names no upstream to use")
		})
	}
}

// TestAcceptedAnnouncementsAreReadByAll accepts announcements of random bytes.
func TestAcceptedAnnouncementsAreReadByAll(t *testing.T) {
	text := rapid.OneOf(rapid.String(), rapid.Map(rapid.SliceOfN(rapid.Byte(), 0, 200), func(b []byte) string { return string(b) }), rapid.Just("a"))
	number := rapid.OneOf(rapid.Map(rapid.Int64(), func(n int64) string { return fmt.Sprint(n) }), rapid.Map(rapid.Float64(), func(n float64) string { return fmt.Sprint(n) }), rapid.Just("8"))
	rapid.Check(t, func(t *rapid.T) {
		body := fmt.Sprintf(`{"service":"%s","addr":"10.0.0.9:%s","zone":"a","version":"%s","slots":8,"state":"ready","seq":%s,"born":%s,"coldLeftMs":%s,"leaves_ms":%s}`,
			text.Draw(t, "service"), number.Draw(t, "port"), text.Draw(t, "version"), number.Draw(t, "seq"), number.Draw(t, "born"), number.Draw(t, "cold"), number.Draw(t, "leaves"))
		a, err := platform.DecodeHeartbeat(text.Draw(t, "id"), []byte(body), time.Second)
		if err != nil {
			return
		}
		if err := readByAll(a); err != nil {
			t.Fatalf("%q as %+v: %v", body, a, err)
		}
	})
}
