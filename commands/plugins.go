package commands

import (
	// The plug-ins of all roles register themselves.
	_ "github.com/hyssopladder/hyssopladder/control"
	_ "github.com/hyssopladder/hyssopladder/gossip"
	_ "github.com/hyssopladder/hyssopladder/ingress"
	_ "github.com/hyssopladder/hyssopladder/operator"
	_ "github.com/hyssopladder/hyssopladder/status"
)
