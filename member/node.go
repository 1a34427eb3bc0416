package member

import (
	"net/netip"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/founding"
	"github.com/hyssopladder/hyssopladder/level"
)

// NodeInfo is the payload of a Node record.
type NodeInfo struct {
	Name    string         `json:"name"`
	Region  string         `json:"region"`
	Zone    string         `json:"zone"`
	Address netip.AddrPort `json:"address"`
	Roles   []string       `json:"roles"`
	// KeeperID identifies the node's data folder, if the node is a keeper.
	KeeperID string `json:"keeperId,omitempty"`
	// Cluster identifies the cluster that the data folder belongs to; 0 if
	// none.
	Cluster uint64 `json:"cluster,omitempty"`
	// KeeperStopped says that the keeper has stopped after a failure, while the node's
	// process and other roles go on.
	KeeperStopped bool `json:"keeperStopped,omitempty"`
	// Reads is the highest level that the node reads, and Level the one in force as far as
	// its keeper has applied the log (package level).
	Reads level.Level `json:"reads,omitempty"`
	Level level.Level `json:"level,omitempty"`
	// Version is the program's version, and Formats are those that it reads; "" from a node
	// of an earlier version.
	Version string `json:"version,omitempty"`
	Formats string `json:"formats,omitempty"`
	// Founding is the node's part in the founding of a cluster; nil if it takes none.
	Founding *founding.State `json:"founding,omitempty"`
}

// Check verifies a decoded NodeInfo.
func (n *NodeInfo) Check() error {
	if n.Name == "" || !n.Address.IsValid() {
		return errors.New("node: a name and an address are needed")
	}
	if n.Founding != nil {
		return n.Founding.Check()
	}
	return nil
}

// All returns every record that is alive or leaving, with what is left of its
// lease.
func (t *Table) All(now clock.Instant) []Record {
	keys := make([]Key, 0, len(t.rows))
	for key := range t.rows {
		keys = append(keys, key)
	}
	return t.Select(now, keys)
}
