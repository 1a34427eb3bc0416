package keeper

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/hyssopladder/hyssopladder/claim"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/document"
	"github.com/hyssopladder/hyssopladder/gossip"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/usage"
)

// Times of a client's tries.
const (
	tryTimeout  = time.Second
	retryDelay  = 50 * time.Millisecond
	applyLimit  = 8 * time.Second
	claimLimit  = 2 * time.Second
	settleLimit = claim.OwnerTimeout
)

// Client sends commands to whichever keeper leads. Commands may be sent again
// without harm, and the client does so until its time is up.
type Client struct {
	gossip *gossip.Host
	peers  *peer.Client

	mu     sync.Mutex
	leader consensus.ID
	// keepers caches where keepers were seen.
	keepers map[consensus.ID]netip.AddrPort
}

// NewClient returns a client that finds keepers by gossip.
func NewClient(g *gossip.Host, peers *peer.Client) *Client {
	return &Client{gossip: g, peers: peers, keepers: map[consensus.ID]netip.AddrPort{}}
}

// Apply writes a document.
func (c *Client) Apply(ctx context.Context, change document.Change) (document.Reply, error) {
	reply, err := c.propose(ctx, Command{Change: &change}, applyLimit)
	if err != nil {
		return document.Reply{}, result.New(result.NoQuorum, result.RanUnknown,
			"no majority of keepers answered: %v; send the same change ID again", err).WithRetry(time.Second)
	}
	return *reply.Change, nil
}

// Put stores a configuration. After an error it may or may not be stored.
func (c *Client) Put(ctx context.Context, p config.Put) (config.Outcome, error) {
	reply, err := c.propose(ctx, Command{Put: &p}, applyLimit)
	if err != nil {
		return 0, result.New(result.NoQuorum, result.RanUnknown, "no majority of keepers answered: %v", err).WithRetry(time.Second)
	}
	return reply.Put, nil
}

// RecordUsage puts a window's final counts on record, and returns what is on
// record then.
func (c *Client) RecordUsage(ctx context.Context, w usage.Window) (usage.Window, error) {
	reply, err := c.propose(ctx, Command{Usage: &w}, applyLimit)
	if err != nil {
		return w, err
	}
	if reply.Usage == nil {
		return w, result.New(result.NoQuorum, result.RanUnknown, "a keeper of another version answered")
	}
	return *reply.Usage, nil
}

// Claim asks for the right to run a call. After an error the claim may or may
// not stand.
func (c *Client) Claim(ctx context.Context, cl claim.Claim) (claim.Reply, error) {
	reply, err := c.propose(ctx, Command{Claim: &claim.Command{Claim: &cl}}, claimLimit)
	if err != nil {
		return claim.Reply{}, err
	}
	return *reply.Claim, nil
}

// Settle tells the outcome of a claimed call.
func (c *Client) Settle(ctx context.Context, s claim.Settle) error {
	_, err := c.propose(ctx, Command{Claim: &claim.Command{Settle: &s}}, settleLimit)
	return err
}

func (c *Client) propose(ctx context.Context, command Command, limit time.Duration) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var last error
	for {
		for _, to := range c.order(ctx) {
			reply, err := c.try(ctx, to, command)
			if err == nil && !reply.NotLeader {
				c.setLeader(to)
				return reply, nil
			}
			c.setLeader(reply.Leader)
			last = err
			if err == nil {
				last = result.New(result.NoQuorum, result.RanUnknown, "keeper %v doesn't lead %s", to, reply.Detail)
			}
			if reply.Leader != consensus.None && reply.Leader != to {
				break
			}
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			if last == nil {
				last = result.New(result.NoQuorum, result.RanUnknown, "no keeper is known")
			}
			return Reply{}, last
		}
	}
}

func (c *Client) try(ctx context.Context, to consensus.ID, command Command) (Reply, error) {
	c.mu.Lock()
	address := c.keepers[to]
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	var reply Reply
	err := c.peers.Call(ctx, address, peer.Propose, command, &reply)
	return reply, err
}

func (c *Client) setLeader(id consensus.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = id
}

// order lists the known keepers, the supposed leader first.
func (c *Client) order(ctx context.Context) []consensus.ID {
	nodes := c.gossip.Nodes(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []consensus.ID
	for _, n := range nodes {
		id, ok := parseID(n.KeeperID)
		if !ok {
			continue
		}
		c.keepers[id] = n.Address
		list = append(list, id)
	}
	for i, id := range list {
		if id == c.leader {
			list[0], list[i] = list[i], list[0]
		}
	}
	return list
}
